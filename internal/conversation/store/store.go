package store

import (
	"errors"
	"fmt"
	"os"
	"sync"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// maxPendingBytes bounds the records that wait for a slow disk.
	maxPendingBytes = 8 << 20
	// maxSpareBytes is the largest buffer that is kept for the next records.
	maxSpareBytes = 1 << 20
)

var (
	// ErrFull means that the size limit is reached, or that too many records wait for the
	// disk.
	ErrFull = errors.New("store of conversations is full")
	// ErrSuperseded means that the turn is held with another content and a later
	// completion.
	ErrSuperseded = errors.New("turn is held with a later completion")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("store of conversations is closed")
	// errTooLarge means that a turn does not fit a record.
	errTooLarge = errors.New("turn is too large")
)

// Options are the settings and dependencies of a Store.
type Options struct {
	Folder string
	// LimitBytes bounds the size of the log.
	LimitBytes int64
	Clock      hawthornrail.Clock
	Disk       Disk
}

// Store is a log of turns. Turns that are appended while a sync runs share the next one.
type Store struct {
	options Options
	epoch   uint64
	wake    chan struct{}
	stopped chan struct{}

	mu       sync.Mutex
	index    *index
	segments []*segment
	// current is the segment that is written to; it is nil until the first write.
	current *segment
	nextID  uint64
	// pending are the records that wait for the disk, and writing those that are being
	// written, which are pendingBytes together.
	pending      *batch
	pendingBytes int64
	spare        []byte
	closed       bool
}

// batch is a group of records that share a sync.
type batch struct {
	buffer  []byte
	records []record
	done    chan struct{}
	err     error
}

// record is a turn in a batch, with the offset of its end.
type record struct {
	turn   hawthornrail.Turn
	header header
	end    int64
}

// Stats is the size of a store.
type Stats struct {
	turns int
	bytes int64
}

// Turns returns the number of turns.
func (s Stats) Turns() int { return s.turns }

// Bytes returns the size of the log.
func (s Stats) Bytes() int64 { return s.bytes }

// Open reads the log in a folder, or begins one. The store has to be closed.
func Open(options Options) (*Store, error) {
	if err := os.MkdirAll(options.Folder, 0o755); err != nil {
		return nil, fmt.Errorf("open store of conversations: %w", err)
	}
	epoch, err := loadEpoch(options.Folder, options.Disk)
	if err != nil {
		return nil, err
	}
	s := &Store{
		options: options, epoch: epoch, wake: make(chan struct{}, 1), stopped: make(chan struct{}),
		index: newIndex(), nextID: 1, pending: newBatch(nil),
	}
	if err := s.replay(); err != nil {
		return nil, errors.Join(err, s.closeFiles())
	}
	go s.flushLoop()
	if err := s.Expire(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

func newBatch(buffer []byte) *batch {
	return &batch{buffer: buffer[:0], done: make(chan struct{})}
}

// replay reads all segments. New records go to a new one, so that no position is used twice.
func (s *Store) replay() error {
	ids, err := segmentIDs(s.options.Folder)
	if err != nil {
		return err
	}
	for _, id := range ids {
		path := segmentPath(s.options.Folder, id)
		file, err := s.options.Disk.Open(path)
		if err != nil {
			return err
		}
		g := &segment{id: id, path: path, file: file}
		s.segments = append(s.segments, g)
		s.nextID = id + 1
		if err := g.replay(s.index); err != nil {
			return err
		}
	}
	return nil
}

// Epoch identifies the folder that the log was begun in; positions count only within it.
func (s *Store) Epoch() uint64 { return s.epoch }

// Stats returns the size of the store.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{turns: len(s.index.turns), bytes: s.sizeLocked()}
}

func (s *Store) sizeLocked() int64 {
	var size int64
	for _, g := range s.segments {
		size += g.size
	}
	return size
}

// Append stores turns and returns once they are on disk. Turns that are held already are
// left as they are.
func (s *Store) Append(turns ...hawthornrail.Turn) error {
	b, err := s.queue(turns)
	if b == nil {
		return err
	}
	<-b.done
	return errors.Join(err, b.err)
}

// queue adds the turns that are not held to the pending batch, which is nil if there are
// none.
func (s *Store) queue(turns []hawthornrail.Turn) (*batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh []hawthornrail.Turn
	var size int64
	var superseded error
	for _, t := range turns {
		held, err := s.heldLocked(t)
		if err != nil {
			superseded = err
		}
		if held || err != nil {
			continue
		}
		if len(t.Input())+len(t.Output()) > maxContentBytes {
			return nil, errTooLarge
		}
		fresh = append(fresh, t)
		size += int64(len(t.Input()) + len(t.Output()))
	}
	if len(fresh) == 0 {
		return nil, superseded
	}
	if s.pendingBytes > 0 && s.pendingBytes+size > maxPendingBytes || s.sizeLocked()+s.pendingBytes+size > s.options.LimitBytes {
		return nil, ErrFull
	}
	b, err := s.addLocked(fresh, size)
	return b, errors.Join(superseded, err)
}

// addLocked adds turns of a size to the pending batch; s.mu must be held.
func (s *Store) addLocked(turns []hawthornrail.Turn, size int64) (*batch, error) {
	if s.closed {
		return nil, ErrClosed
	}
	if err := s.pending.add(turns); err != nil {
		return nil, err
	}
	s.pendingBytes += size
	s.wakeFlush()
	return s.pending, nil
}

func (s *Store) wakeFlush() {
	select {
	case s.wake <- struct{}{}:
	default:
		// A flush is already due.
	}
}

// heldLocked reports whether a turn is held with the same content; s.mu must be held.
func (s *Store) heldLocked(t hawthornrail.Turn) (bool, error) {
	e, ok := s.index.turns[t.Ref()]
	if !ok {
		return false, nil
	}
	same := e.parent == t.Parent() && int(e.header.inputBytes) == len(t.Input()) &&
		int(e.header.outputBytes) == len(t.Output()) && e.header.contentSum == contentSum(t)
	if !same && e.completedMS >= t.CompletedAt().UnixMilli() {
		return false, ErrSuperseded
	}
	return same, nil
}

func (b *batch) add(turns []hawthornrail.Turn) error {
	for _, t := range turns {
		buffer, h, err := appendRecord(b.buffer, t)
		if err != nil {
			return err
		}
		b.buffer = buffer
		// The content is in the buffer; the turn would keep it in memory until the sync.
		description := hawthornrail.NewTurn(t.Ref(), nil, nil).WithParent(t.Parent()).
			WithPlacementKey(t.PlacementKey()).WithRetention(t.CompletedAt(), t.Retention())
		b.records = append(b.records, record{turn: description, header: h, end: int64(len(buffer))})
	}
	return nil
}

// Close writes the pending records and closes the files.
func (s *Store) Close() error {
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.mu.Unlock()
	if closed {
		return nil
	}
	close(s.wake)
	<-s.stopped
	return s.closeFiles()
}

func (s *Store) closeFiles() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	for _, g := range s.segments {
		errs = append(errs, g.file.Close())
	}
	return errors.Join(errs...)
}
