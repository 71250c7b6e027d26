package store

import (
	"bufio"
	"errors"
	"fmt"
	"hash"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	segmentSuffix = ".turns"
	// segmentBytes is the size above which a new segment is begun.
	segmentBytes = 4 << 20
	// offsetBits is the part of a position that is the offset in a segment.
	offsetBits = 32
)

// segment is a file of the log.
type segment struct {
	id   uint64
	path string
	file File
	// size covers what is on disk and in the index.
	size int64
	// entries are those of the segment in the order of the log, and live is how many of
	// them, of liveBytes together, are still in the index.
	entries   []*entry
	live      int
	liveBytes int64
}

// entry is the place of a turn in the log and what is known without reading it.
type entry struct {
	ref          hawthornrail.TurnRef
	parent       string
	placementKey string
	segment      *segment
	// end is the offset of the record's end in its segment, up to which it is content.
	end    int64
	header header
	// completedMS and expiryMS are in Unix time.
	completedMS int64
	retainMS    int64
	expiryMS    int64
	dead        bool
}

// newEntry returns the entry of a turn whose record ends at an offset.
func newEntry(t hawthornrail.Turn, h header, s *segment, end int64) *entry {
	completed, retain := t.CompletedAt().UnixMilli(), t.Retention().Milliseconds()
	return &entry{
		ref: t.Ref(), parent: t.Parent(), placementKey: t.PlacementKey(), segment: s, end: end, header: h,
		completedMS: completed, retainMS: retain, expiryMS: completed + retain,
	}
}

func (e *entry) position() uint64 { return e.segment.id<<offsetBits | uint64(e.end) }

func (e *entry) parentRef() hawthornrail.TurnRef {
	return hawthornrail.NewTurnRef(e.ref.Team(), e.parent)
}

// add appends an entry that is in the index.
func (s *segment) add(e *entry) {
	s.entries = append(s.entries, e)
	s.live++
	s.liveBytes += e.header.recordBytes()
	s.size = max(s.size, e.end)
}

// drop marks an entry that is no longer in the index.
func (s *segment) drop(e *entry) {
	if e.dead {
		return
	}
	e.dead = true
	s.live--
	s.liveBytes -= e.header.recordBytes()
}

func segmentPath(folder string, id uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%016x%s", id, segmentSuffix))
}

// segmentIDs returns the segments of a folder in the order of the log.
func segmentIDs(folder string) ([]uint64, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("list segments: %w", err)
	}
	var ids []uint64
	for _, f := range files {
		name, ok := strings.CutSuffix(f.Name(), segmentSuffix)
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(name, 16, 64)
		if err != nil {
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids, nil
}

// replay adds the turns of a segment to an index and truncates it after the last intact
// record: a power loss can leave a part of one. A record whose content alone is damaged does
// not hide those after it.
func (s *segment) replay(x *index) error {
	r := bufio.NewReaderSize(io.NewSectionReader(s.file, 0, 1<<offsetBits-1), replayBufferBytes)
	var offset int64
	var damaged []*entry
	for {
		t, h, err := readRecord(r)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errCorrupt) {
			break
		}
		if err != nil && !errors.Is(err, errContentCorrupt) {
			return fmt.Errorf("read segment: %w", err)
		}
		offset += h.recordBytes()
		e := newEntry(t, h, s, offset)
		if err == nil {
			x.insert(e)
		} else {
			damaged = append(damaged, e)
		}
	}
	for _, e := range damaged {
		// A damaged record at the end was not acknowledged if a power loss has torn it.
		if e.end < s.size {
			x.insertDamaged(e)
		}
	}
	if err := s.file.Truncate(s.size); err != nil {
		return fmt.Errorf("truncate segment: %w", err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync segment: %w", err)
	}
	return nil
}

// read reads a part of the content of an entry, and checks all of it.
func (s *segment) read(e *entry, offset int64, part []byte) error {
	start := e.end - e.header.contentBytes()
	if _, err := s.file.ReadAt(part, start+offset); err != nil {
		return fmt.Errorf("read turn: %w", err)
	}
	sum := crc32.New(checksums)
	if err := s.addTo(sum, start, start+offset); err != nil {
		return err
	}
	_, _ = sum.Write(part)
	if err := s.addTo(sum, start+offset+int64(len(part)), e.end); err != nil {
		return err
	}
	if sum.Sum32() != e.header.contentSum {
		return fmt.Errorf("read turn: %w", errContentCorrupt)
	}
	return nil
}

// addTo adds the bytes between two offsets to a checksum.
func (s *segment) addTo(sum hash.Hash32, from, to int64) error {
	if from == to {
		return nil
	}
	if _, err := io.Copy(sum, io.NewSectionReader(s.file, from, to-from)); err != nil {
		return fmt.Errorf("read turn: %w", err)
	}
	return nil
}
