package state

import (
	"cmp"
	"errors"
	"slices"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
)

// maxTombstones bounds the deletions kept for VMs that request changes.
const maxTombstones = 4096

// State holds the newest version of every object up to its revision.
type State struct {
	revision     uint64
	historyStart uint64
	entries      map[objectID]entry
	tombstones   int
	dirtyKinds   map[string]bool
	lastSnapshot *hawthornrail.Snapshot
}

// objectID identifies an object across its versions.
type objectID struct {
	kind string
	name string
}

// entry is an object with its decoded value, or the error of decoding it.
type entry struct {
	object objects.Object
	value  decodedValue
	err    error
}

// New returns an empty state at revision 0.
func New() *State {
	return &State{
		entries: make(map[objectID]entry), dirtyKinds: make(map[string]bool),
		lastSnapshot: hawthornrail.NewSnapshot(0, nil, nil, nil, nil),
	}
}

// Revision returns the highest revision up to which the state is complete.
func (s *State) Revision() uint64 { return s.revision }

// ApplyChanges applies the objects changed after revision since and up to
// revision, and reports whether anything in force changed. If since is later
// than the state's own revision, the changes between them are unknown and
// nothing is applied: part of a change could come into force without the rest.
func (s *State) ApplyChanges(changed []objects.Object, since, revision uint64) bool {
	if since > s.revision {
		return false
	}
	anyChanged := false
	for _, o := range changed {
		// An object at or below the revision that is not held is superseded or
		// deleted.
		if o.Version > s.revision {
			anyChanged = s.apply(o) || anyChanged
		}
	}
	s.revision = max(s.revision, revision)
	s.trimTombstones()
	return anyChanged
}

// Replace replaces the objects with a full list at a revision; a list older
// than the state changes nothing.
func (s *State) Replace(all []objects.Object, revision uint64) bool {
	if revision < s.revision {
		return false
	}
	listed := make(map[objectID]bool, len(all))
	anyChanged := false
	for _, o := range all {
		listed[objectIDOf(o)] = true
		for _, member := range changeObjects(o) {
			listed[objectIDOf(member)] = true
		}
		anyChanged = s.apply(o) || anyChanged
	}
	for id, e := range s.entries {
		if !listed[id] {
			anyChanged = !e.object.Deleted || anyChanged
			s.remove(id)
		}
	}
	// Individual deletions before the list are unknown.
	s.revision, s.historyStart = revision, revision
	return anyChanged
}

// Since returns the objects changed after a revision, deletions included. full
// is set if they are a full list because older changes are not kept.
func (s *State) Since(revision uint64) (changed []objects.Object, full bool) {
	full = revision < s.historyStart || revision > s.revision
	for _, e := range s.entries {
		o := e.object
		if full && o.Deleted || !full && o.Version <= revision {
			continue
		}
		changed = append(changed, o)
	}
	slices.SortFunc(changed, func(a, b objects.Object) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return changed, full
}

// apply stores an object and, if it is a change object, the objects of the
// change.
func (s *State) apply(o objects.Object) bool {
	anyChanged := s.store(o)
	for _, member := range changeObjects(o) {
		anyChanged = s.store(member) || anyChanged
	}
	return anyChanged
}

func (s *State) store(o objects.Object) bool {
	if !objects.HeldByVMs(o.Kind) {
		return false
	}
	id := objectIDOf(o)
	current, ok := s.entries[id]
	if ok && current.object.Version >= o.Version {
		return false
	}
	if ok {
		s.remove(id)
	}
	e := entry{object: o}
	if o.Deleted {
		s.tombstones++
	} else {
		e.value, e.err = decode(o)
	}
	s.entries[id] = e
	s.dirtyKinds[id.kind] = true
	return true
}

func (s *State) remove(id objectID) {
	if s.entries[id].object.Deleted {
		s.tombstones--
	}
	delete(s.entries, id)
	s.dirtyKinds[id.kind] = true
}

// trimTombstones drops the older half of the deletions when there are too many.
func (s *State) trimTombstones() {
	if s.tombstones <= maxTombstones {
		return
	}
	var versions []uint64
	for _, e := range s.entries {
		if e.object.Deleted {
			versions = append(versions, e.object.Version)
		}
	}
	slices.Sort(versions)
	s.historyStart = max(s.historyStart, versions[len(versions)/2])
	for id, e := range s.entries {
		if e.object.Deleted && e.object.Version <= s.historyStart {
			s.remove(id)
		}
	}
}

func objectIDOf(o objects.Object) objectID { return objectID{kind: o.Kind, name: o.Name} }

// Snapshot returns the objects in force and the errors of those that cannot be
// decoded, which are left out. Kinds without a change since the last snapshot
// share their data with it.
func (s *State) Snapshot() (*hawthornrail.Snapshot, error) {
	var b builder
	var errs []error
	for id, e := range s.entries {
		if e.err != nil {
			errs = append(errs, e.err)
		}
		if e.value != nil && s.dirtyKinds[id.kind] {
			e.value.addTo(&b)
		}
	}
	s.lastSnapshot = b.snapshot(s.lastSnapshot, s.dirtyKinds).AtRevision(s.revision)
	clear(s.dirtyKinds)
	return s.lastSnapshot, errors.Join(errs...)
}
