package mirror

import (
	"maps"
	"slices"
	"sync"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// maxRemovals bounds the removals that are kept per kind for other VMs. A VM
// with a revision older than the kept removals gets the full list.
const maxRemovals = 1024

// Mirror holds all objects of some kinds. Each kind is complete up to a
// revision that only increases.
type Mirror struct {
	mu          sync.Mutex
	collections map[string]*collection
	// onChange is called with the lock held: in the order of the changes, one
	// call at a time.
	onChange ChangeFunc
	// nextChange is closed when an object changes.
	nextChange chan struct{}
}

// ChangeFunc receives all objects of a kind after a change, their revision, and where
// the change was read from.
type ChangeFunc func(kind, source string, revision uint64, objects []hawthornrail.Object)

// collection holds the objects of one kind.
type collection struct {
	revision uint64
	objects  map[string]hawthornrail.Object
	// historyStart is the revision after which every change is recorded.
	// modRevisions and removalRevisions are the revisions that set each object
	// and removed each name.
	historyStart     uint64
	modRevisions     map[string]uint64
	removalRevisions map[string]uint64
}

func newCollection(revision uint64) *collection {
	return &collection{
		revision: revision,
		objects:  make(map[string]hawthornrail.Object), modRevisions: make(map[string]uint64), removalRevisions: make(map[string]uint64),
	}
}

// New returns an empty mirror. It calls onChange with all objects of a kind
// whenever one of them changes.
func New(onChange ChangeFunc) *Mirror {
	return &Mirror{collections: make(map[string]*collection), onChange: onChange, nextChange: make(chan struct{})}
}

// Revision returns the revision up to which a kind is complete, or 0 if the
// mirror holds nothing of it.
func (m *Mirror) Revision(kind string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.collections[kind]; ok {
		return c.revision
	}
	return 0
}

// Size returns the number of objects of a kind.
func (m *Mirror) Size(kind string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.collections[kind]; ok {
		return len(c.objects)
	}
	return 0
}

// NextChange returns a channel that is closed when an object changes.
func (m *Mirror) NextChange() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nextChange
}

// Replace replaces all objects of a kind and reports whether it did: a list
// that is not of a later revision than the held one changes nothing.
func (m *Mirror) Replace(kind string, list hawthornrail.ObjectChanges) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, held := m.collections[kind]
	if held && list.Revision() <= c.revision {
		return false
	}
	if !held {
		c = newCollection(list.Revision())
		m.collections[kind] = c
	}
	// Objects that were created and removed between the two revisions are
	// unknown.
	c.revision, c.historyStart = list.Revision(), list.Revision()
	if c.replace(list.Set()) || !held {
		m.notifyLocked(kind, list.Source(), c)
	}
	return true
}

// replace makes a list the content and reports whether an object changed.
func (c *collection) replace(list []hawthornrail.Object) bool {
	changed := false
	clear(c.removalRevisions)
	names := make(map[string]bool, len(list))
	for _, o := range list {
		names[o.Name()] = true
		if held, ok := c.objects[o.Name()]; !ok || !equal(held, o) {
			c.set(o)
			changed = true
		}
	}
	for name := range c.objects {
		if !names[name] {
			c.remove(name)
			changed = true
		}
	}
	return changed
}

func equal(a, b hawthornrail.Object) bool { return string(a.Value()) == string(b.Value()) }

// ApplyChanges applies all changes of a kind since a revision. They may overlap
// with changes that were applied meanwhile, since each of them contains the last
// state of an object. It returns false and applies nothing if changes are missing
// before that revision.
func (m *Mirror) ApplyChanges(kind string, since uint64, changes hawthornrail.ObjectChanges) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.collections[kind]
	if !ok || c.revision < since {
		return false
	}
	if changes.Revision() <= c.revision {
		return true
	}
	c.revision = changes.Revision()
	for _, o := range changes.Set() {
		c.set(o)
	}
	for _, name := range changes.Removed() {
		c.remove(name)
	}
	if len(changes.Set())+len(changes.Removed()) > 0 {
		m.notifyLocked(kind, changes.Source(), c)
	}
	return true
}

func (c *collection) set(o hawthornrail.Object) {
	c.objects[o.Name()] = o
	c.modRevisions[o.Name()] = c.revision
	delete(c.removalRevisions, o.Name())
}

func (c *collection) remove(name string) {
	delete(c.objects, name)
	delete(c.modRevisions, name)
	c.removalRevisions[name] = c.revision
	if len(c.removalRevisions) > maxRemovals {
		c.trimRemovals()
	}
}

// trimRemovals drops the older half of the removals.
func (c *collection) trimRemovals() {
	revisions := slices.Sorted(maps.Values(c.removalRevisions))
	c.historyStart = max(c.historyStart, revisions[len(revisions)/2])
	maps.DeleteFunc(c.removalRevisions, func(_ string, r uint64) bool { return r <= c.historyStart })
}

// notifyLocked calls onChange and wakes those who wait for a change; m.mu must
// be held.
func (m *Mirror) notifyLocked(kind, source string, c *collection) {
	m.onChange(kind, source, c.revision, c.sorted())
	close(m.nextChange)
	m.nextChange = make(chan struct{})
}

func (c *collection) sorted() []hawthornrail.Object {
	list := make([]hawthornrail.Object, 0, len(c.objects))
	for _, name := range slices.Sorted(maps.Keys(c.objects)) {
		list = append(list, c.objects[name])
	}
	return list
}

// ListIfNewer returns all objects of a kind if they are of a later revision
// than the given one.
func (m *Mirror) ListIfNewer(kind string, revision uint64) (hawthornrail.ObjectChanges, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.collections[kind]
	if !ok || c.revision <= revision {
		return hawthornrail.ObjectChanges{}, false
	}
	return hawthornrail.NewObjectChanges(c.revision, c.sorted(), nil), true
}

// ChangesSince returns the changes of a kind after a revision. It is not
// complete if the recorded changes do not reach back to that revision; the
// receiver then needs the full list.
func (m *Mirror) ChangesSince(kind string, revision uint64) (changes hawthornrail.ObjectChanges, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.collections[kind]
	if !ok || revision == 0 || revision < c.historyStart {
		return hawthornrail.ObjectChanges{}, false
	}
	var set []hawthornrail.Object
	for name, modRevision := range c.modRevisions {
		if modRevision > revision {
			set = append(set, c.objects[name])
		}
	}
	var removed []string
	for name, modRevision := range c.removalRevisions {
		if modRevision > revision {
			removed = append(removed, name)
		}
	}
	return hawthornrail.NewObjectChanges(c.revision, set, removed), true
}

// ChangedSince reports whether an object of a kind has changed after a
// revision.
func (m *Mirror) ChangedSince(kind string, revision uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.collections[kind]
	if !ok {
		return false
	}
	if revision == 0 || revision < c.historyStart {
		return c.revision > revision
	}
	return anyAfter(c.modRevisions, revision) || anyAfter(c.removalRevisions, revision)
}

// anyAfter reports whether one of the revisions is later than the given one.
func anyAfter(revisions map[string]uint64, revision uint64) bool {
	for _, r := range revisions {
		if r > revision {
			return true
		}
	}
	return false
}
