package store

import (
	"errors"
	"fmt"
)

func (s *Store) flushLoop() {
	defer close(s.stopped)
	for range s.wake {
		s.flush()
	}
	s.flush()
}

// flush writes and syncs the pending records, and adds them to the index.
func (s *Store) flush() {
	s.mu.Lock()
	b := s.pending
	if len(b.records) == 0 {
		s.mu.Unlock()
		return
	}
	s.pending = newBatch(s.spare)
	s.spare = nil
	s.mu.Unlock()

	g, err := s.write(b.buffer)
	s.mu.Lock()
	b.err = err
	for _, r := range b.records {
		s.pendingBytes -= r.header.contentBytes()
	}
	if err == nil {
		s.insertLocked(g, b)
	}
	if cap(b.buffer) <= maxSpareBytes {
		s.spare = b.buffer
	}
	b.buffer = nil
	s.mu.Unlock()
	close(b.done)
}

// insertLocked adds a batch that is on disk to the index; s.mu must be held.
func (s *Store) insertLocked(g *segment, b *batch) {
	start := g.size
	for _, r := range b.records {
		s.index.insert(newEntry(r.turn, r.header, g, start+r.end))
	}
}

// write appends data to the current segment and returns once it is on disk.
func (s *Store) write(data []byte) (*segment, error) {
	g, err := s.writable()
	if err != nil {
		return nil, err
	}
	_, err = g.file.Write(data)
	if err == nil {
		err = g.file.Sync()
	}
	if err == nil {
		return g, nil
	}
	// What a failed write or sync leaves in the file is unknown, so the segment gets no
	// more records. The truncation frees the space; if it fails too, the replay at the next
	// start finds complete records that were not acknowledged, or truncates.
	s.mu.Lock()
	s.current = nil
	size := g.size
	s.mu.Unlock()
	return nil, errors.Join(fmt.Errorf("write turns: %w", err), g.file.Truncate(size))
}

// writable returns the segment to write to, and begins a new one if the current one is
// large enough or has failed.
func (s *Store) writable() (*segment, error) {
	s.mu.Lock()
	g := s.current
	if g != nil && g.size < segmentBytes {
		s.mu.Unlock()
		return g, nil
	}
	id := s.nextID
	s.nextID++
	s.mu.Unlock()
	path := segmentPath(s.options.Folder, id)
	file, err := s.options.Disk.Create(path)
	if err != nil {
		return nil, err
	}
	g = &segment{id: id, path: path, file: file}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = g
	s.segments = append(s.segments, g)
	return g, nil
}
