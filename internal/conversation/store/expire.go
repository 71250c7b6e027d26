package store

import (
	"errors"
	"math"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// compactShare is the fraction of the size limit above which segments are compacted.
	compactShare = 2
	// sparseShare is the fraction of a segment that its turns may take up at most for it to
	// be compacted: less saves too little for what is written.
	sparseShare = 2
	// reserveShare is the part of the size limit, as a divisor, that is left for turns which are
	// under way when the store is said to be full.
	reserveShare = 8
	// compactBytes bounds the content that a compaction holds in memory.
	compactBytes = 1 << 20
)

// Expire removes the turns that are no longer kept and the segments without others. A long
// conversation keeps its first turns, and with them their segments; so segments with few
// turns are compacted when the log is large.
func (s *Store) Expire() error {
	s.mu.Lock()
	s.index.expire(s.options.Clock.Now().UnixMilli())
	s.mu.Unlock()
	err := s.removeEmpty()
	for _, g := range s.sparse() {
		err = errors.Join(err, s.compact(g))
	}
	return errors.Join(err, s.removeEmpty())
}

// removeEmpty removes the segments without turns. The last segment stays, so that the
// positions of its records are not used again after a restart.
func (s *Store) removeEmpty() error {
	s.mu.Lock()
	var empty, kept []*segment
	for n, g := range s.segments {
		if g.live == 0 && n < len(s.segments)-1 {
			empty = append(empty, g)
			continue
		}
		kept = append(kept, g)
	}
	s.segments = kept
	s.mu.Unlock()
	if len(empty) == 0 {
		return nil
	}
	var errs []error
	for _, g := range empty {
		errs = append(errs, g.file.Close(), s.options.Disk.Remove(g.path))
	}
	return errors.Join(append(errs, s.options.Disk.SyncFolder(s.options.Folder))...)
}

// sparse returns the segments to compact, the oldest first.
func (s *Store) sparse() []*segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	excess := s.sizeLocked() - s.options.LimitBytes/compactShare
	var sparse []*segment
	for n, g := range s.segments {
		if excess <= 0 || n == len(s.segments)-1 {
			break
		}
		if g.liveBytes*sparseShare <= g.size {
			sparse = append(sparse, g)
			excess -= g.size - g.liveBytes
		}
	}
	return sparse
}

// compact writes the turns of a segment to the end of the log, so that it can be removed.
func (s *Store) compact(g *segment) error {
	var turns []hawthornrail.Turn
	var size int64
	for _, e := range s.liveEntries(g) {
		t, err := s.load(e)
		if errors.Is(err, errContentCorrupt) {
			continue
		}
		if err != nil {
			return err
		}
		turns = append(turns, t)
		size += e.header.contentBytes()
		if size < compactBytes {
			continue
		}
		if err := s.rewrite(turns, size); err != nil {
			return err
		}
		turns, size = nil, 0
	}
	return s.rewrite(turns, size)
}

func (s *Store) liveEntries(g *segment) []*entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []*entry
	for _, e := range g.entries {
		if !e.dead {
			entries = append(entries, e)
		}
	}
	return entries
}

// rewrite appends turns that are held, also above the size limit: the segment that they are
// in is removed afterwards.
func (s *Store) rewrite(turns []hawthornrail.Turn, size int64) error {
	if len(turns) == 0 {
		return nil
	}
	s.mu.Lock()
	b, err := s.addLocked(turns, size)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	<-b.done
	return b.err
}

// Room reports whether the store has room for further turns, and otherwise how long it takes
// until a segment has expired. Turns that are under way still have room.
func (s *Store) Room() (ok bool, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sizeLocked()+s.pendingBytes <= s.options.LimitBytes-s.options.LimitBytes/reserveShare {
		return true, 0
	}
	nowMS := s.options.Clock.Now().UnixMilli()
	first := int64(math.MaxInt64)
	for _, g := range s.segments {
		first = min(first, g.expiryMS())
	}
	return false, time.Duration(max(0, first+expiryMarginMS-nowMS)) * time.Millisecond
}

// expiryMS returns when the last turn of a segment expires, in milliseconds.
func (g *segment) expiryMS() int64 {
	last := int64(0)
	for _, e := range g.entries {
		if !e.dead {
			last = max(last, e.expiryMS)
		}
	}
	return last
}
