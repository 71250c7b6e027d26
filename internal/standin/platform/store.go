package platform

import (
	"encoding/json"
	"errors"
	"sort"
	"strings"
	"sync"
)

// maxEvents is the number of events kept for watches that resume from an earlier
// revision.
const maxEvents = 4096

// The store's errors.
var (
	// ErrConflict means that the object's version is not the expected one.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrCompacted means that events after the given revision have been removed,
	// or that the store has not reached that revision.
	ErrCompacted = errors.New("revision gone")
)

// Object is a stored value with its version.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Store keeps objects in memory. All versions come from one increasing counter,
// the store's revision.
type Store struct {
	mu                sync.Mutex
	revision          uint64
	objects           map[string]Object
	events            []Object
	compactedRevision uint64
	changed           chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: make(map[string]Object), changed: make(chan struct{})}
}

// Put stores a value if the object's version equals ifVersion; 0 means that the
// object must not exist.
func (s *Store) Put(kind, name string, ifVersion uint64, value json.RawMessage) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[kind+"/"+name]
	if current.Version != ifVersion {
		return current, ErrConflict
	}
	return s.record(Object{Kind: kind, Name: name, Value: value}), nil
}

// Delete removes an object if its version equals ifVersion.
func (s *Store) Delete(kind, name string, ifVersion uint64) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[kind+"/"+name]
	if !ok {
		return Object{}, ErrNotFound
	}
	if current.Version != ifVersion {
		return current, ErrConflict
	}
	return s.record(Object{Kind: kind, Name: name, Deleted: true}), nil
}

func (s *Store) record(o Object) Object {
	s.revision++
	o.Version = s.revision
	key := o.Kind + "/" + o.Name
	if o.Deleted {
		delete(s.objects, key)
	} else {
		s.objects[key] = o
	}
	s.events = append(s.events, o)
	if len(s.events) > maxEvents {
		s.compactedRevision = s.events[len(s.events)-maxEvents-1].Version
		s.events = s.events[len(s.events)-maxEvents:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return Object{}, ErrNotFound
	}
	return o, nil
}

// List returns the objects of a kind, or all objects if kind is empty, sorted by
// kind and name, and the store's revision.
func (s *Store) List(kind string) ([]Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := []Object{}
	for key, o := range s.objects {
		if kind == "" || strings.HasPrefix(key, kind+"/") {
			objects = append(objects, o)
		}
	}
	sort.Slice(objects, func(i, j int) bool {
		return objects[i].Kind+"/"+objects[i].Name < objects[j].Kind+"/"+objects[j].Name
	})
	return objects, s.revision
}

// Since returns the events after a revision and a channel that is closed at the
// next event, or ErrCompacted.
func (s *Store) Since(revision uint64) ([]Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.compactedRevision || revision > s.revision {
		return nil, nil, ErrCompacted
	}
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > revision })
	return append([]Object{}, s.events[i:]...), s.changed, nil
}
