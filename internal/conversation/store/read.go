package store

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	hawthornrail "hawthornrail.example/hawthornrail"
)

var (
	// ErrUnknown means that no team has a turn with the id in this store, as far as it knows.
	ErrUnknown = errors.New("turn is not held")
	// ErrForeign means that only other teams have a turn with the id in this store.
	ErrForeign = errors.New("turn belongs to another team")
	// ErrIncomplete means that the turn or one of its ancestors is known to exist and can't be
	// read or is not held.
	ErrIncomplete = errors.New("chain is incomplete")
)

// Located is a turn and all its ancestors in the log.
type Located struct {
	store *Store
	// entries are the turns, the oldest last.
	entries []*entry
	size    int64
}

// Locate finds a turn and its ancestors without reading their content.
func (s *Store) Locate(ref hawthornrail.TurnRef) (Located, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, err := s.index.chain(ref)
	if err != nil {
		return Located{}, err
	}
	l := Located{store: s, entries: entries}
	for _, e := range entries {
		l.size += e.header.contentBytes()
	}
	return l, nil
}

// Size returns the size of the content in bytes.
func (l Located) Size() int64 { return l.size }

// Turns returns the number of turns.
func (l Located) Turns() int { return len(l.entries) }

// PlacementKey returns the key that determines which VMs store the chain.
func (l Located) PlacementKey() string { return l.entries[0].placementKey }

// Digest returns a number that is another one if the content differs.
func (l Located) Digest() uint64 {
	digest := xxhash.New()
	var fields [12]byte
	for _, e := range l.entries {
		binary.BigEndian.PutUint32(fields[0:], e.header.contentSum)
		binary.BigEndian.PutUint64(fields[4:], uint64(e.header.contentBytes()))
		_, _ = digest.Write(fields[:])
	}
	return digest.Sum64()
}

// Read returns at most limit bytes of the content from an offset on: the input and output of
// each turn, the oldest first.
func (l Located) Read(offset, limit int64) ([]byte, error) {
	offset = min(offset, l.size)
	end := offset + min(limit, l.size-offset)
	part := make([]byte, end-offset)
	var start int64
	for _, e := range slices.Backward(l.entries) {
		next := start + e.header.contentBytes()
		from, to := max(start, offset), min(next, end)
		if from < to {
			if err := l.store.read(e, from-start, part[from-offset:to-offset]); err != nil {
				return nil, errors.Join(ErrIncomplete, err)
			}
		}
		start = next
	}
	return part, nil
}

// read reads the content of an entry from an offset on. A damaged one counts as missing from
// then on, so that it is fetched from another VM.
func (s *Store) read(e *entry, offset int64, part []byte) error {
	err := e.segment.read(e, offset, part)
	if errors.Is(err, errContentCorrupt) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.index.damage(e)
	}
	return err
}

// Missing returns those of the turns that are not held.
func (s *Store) Missing(refs []hawthornrail.TurnRef) []hawthornrail.TurnRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	var missing []hawthornrail.TurnRef
	for _, ref := range refs {
		if _, held := s.index.turns[ref]; !held {
			missing = append(missing, ref)
		}
	}
	return missing
}

// Awaited returns at most limit turns that are known to exist and are not held.
func (s *Store) Awaited(limit int) []hawthornrail.TurnRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	var refs []hawthornrail.TurnRef
	for ref := range s.index.awaited {
		if len(refs) == limit {
			break
		}
		refs = append(refs, ref)
	}
	return refs
}

// Listed is a turn in a list of the log.
type Listed struct {
	ref          hawthornrail.TurnRef
	placementKey string
	contentBytes int64
	completedAt  time.Time
}

// Ref returns the identity of the turn.
func (l Listed) Ref() hawthornrail.TurnRef { return l.ref }

// PlacementKey returns the key that determines which VMs store the turn.
func (l Listed) PlacementKey() string { return l.placementKey }

// ContentBytes returns the size of the turn's input and output.
func (l Listed) ContentBytes() int64 { return l.contentBytes }

// CompletedAt returns when the turn's response ended.
func (l Listed) CompletedAt() time.Time { return l.completedAt }

// List returns the turns after a position in the log, at most limit of them, and the
// position up to which it has listed. more reports whether others follow.
func (s *Store) List(after uint64, limit int) (turns []Listed, position uint64, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	position = after
	for _, g := range s.segments {
		if g.id < after>>offsetBits {
			continue
		}
		first, _ := slices.BinarySearchFunc(g.entries, after+1, comparePosition)
		for _, e := range g.entries[first:] {
			if len(turns) == limit {
				return turns, position, true
			}
			position = e.position()
			if !e.dead {
				turns = append(turns, Listed{
					ref: e.ref, placementKey: e.placementKey, contentBytes: e.header.contentBytes(), completedAt: time.UnixMilli(e.completedMS),
				})
			}
		}
	}
	return turns, position, false
}

func comparePosition(e *entry, position uint64) int {
	switch p := e.position(); {
	case p < position:
		return -1
	case p > position:
		return 1
	}
	return 0
}

// Fetch returns those of the turns that are held, in their order, until their content
// exceeds maxBytes; it returns at least one if any is held.
func (s *Store) Fetch(refs []hawthornrail.TurnRef, maxBytes int64) ([]hawthornrail.Turn, error) {
	var turns []hawthornrail.Turn
	var size int64
	for _, ref := range refs {
		s.mu.Lock()
		e, held := s.index.turns[ref]
		s.mu.Unlock()
		if !held {
			continue
		}
		size += e.header.contentBytes()
		if len(turns) > 0 && size > maxBytes {
			break
		}
		t, err := s.load(e)
		if err != nil && !errors.Is(err, errContentCorrupt) {
			return nil, err
		}
		if err == nil {
			turns = append(turns, t)
		}
	}
	return turns, nil
}

// load reads the turn of an entry.
func (s *Store) load(e *entry) (hawthornrail.Turn, error) {
	content := make([]byte, e.header.contentBytes())
	if err := s.read(e, 0, content); err != nil {
		return hawthornrail.Turn{}, err
	}
	input := content[:e.header.inputBytes:e.header.inputBytes]
	return hawthornrail.NewTurn(e.ref, input, content[e.header.inputBytes:]).WithParent(e.parent).WithPlacementKey(e.placementKey).
		WithRetention(time.UnixMilli(e.completedMS), time.Duration(e.retainMS)*time.Millisecond), nil
}
