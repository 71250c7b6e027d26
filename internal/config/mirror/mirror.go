package mirror

import (
	"maps"
	"slices"
	"sync"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// maxRemoved bounds the removals of a kind that are remembered for other VMs;
// those that hold an older revision get the whole list.
const maxRemoved = 1024

// Mirror holds all objects of some kinds, each complete up to a revision that
// only rises.
type Mirror struct {
	mu    sync.Mutex
	kinds map[string]*content
	// changed is called in order of the changes, one call at a time.
	changed func(kind string, objects []hawthornrail.Object)
	// news is closed when an object changes.
	news chan struct{}
}

// content is what is held of one kind.
type content struct {
	revision uint64
	objects  map[string]hawthornrail.Object
	// since is the revision after which every change is known; stamped and
	// removed are the revisions that brought each object and each removal.
	since   uint64
	stamped map[string]uint64
	removed map[string]uint64
}

func newContent(revision uint64) *content {
	return &content{
		revision: revision,
		objects:  make(map[string]hawthornrail.Object), stamped: make(map[string]uint64), removed: make(map[string]uint64),
	}
}

// New returns an empty mirror; changed gets all objects of a kind whenever one
// of them has changed.
func New(changed func(kind string, objects []hawthornrail.Object)) *Mirror {
	return &Mirror{kinds: make(map[string]*content), changed: changed, news: make(chan struct{})}
}

// Revision returns the revision up to which a kind is complete, or 0.
func (m *Mirror) Revision(kind string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.kinds[kind]; ok {
		return c.revision
	}
	return 0
}

// News returns a channel that is closed when an object changes.
func (m *Mirror) News() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.news
}

// Replace takes all objects of a kind; it reports whether they are of a later
// revision than those held, which stay otherwise.
func (m *Mirror) Replace(kind string, list hawthornrail.ObjectChanges) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, held := m.kinds[kind]
	if held && list.Revision() <= c.revision {
		return false
	}
	if !held {
		c = newContent(list.Revision())
		m.kinds[kind] = c
	}
	// What came and went between the two revisions is not known.
	c.revision, c.since = list.Revision(), list.Revision()
	if c.replace(list.Set()) || !held {
		m.tell(kind, c)
	}
	return true
}

// replace makes a list the content and reports whether that changed anything.
func (c *content) replace(list []hawthornrail.Object) bool {
	changed := false
	clear(c.removed)
	listed := make(map[string]bool, len(list))
	for _, o := range list {
		listed[o.Name()] = true
		if held, ok := c.objects[o.Name()]; !ok || !equal(held, o) {
			c.set(o)
			changed = true
		}
	}
	for name := range c.objects {
		if !listed[name] {
			c.remove(name)
			changed = true
		}
	}
	return changed
}

func equal(a, b hawthornrail.Object) bool { return string(a.Value()) == string(b.Value()) }

// Change takes all changes of a kind since a revision; it reports whether they
// follow on what is held, and takes nothing otherwise.
func (m *Mirror) Change(kind string, since uint64, changes hawthornrail.ObjectChanges) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.kinds[kind]
	if !ok || c.revision != since {
		return false
	}
	if changes.Revision() <= since {
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
		m.tell(kind, c)
	}
	return true
}

func (c *content) set(o hawthornrail.Object) {
	c.objects[o.Name()] = o
	c.stamped[o.Name()] = c.revision
	delete(c.removed, o.Name())
}

func (c *content) remove(name string) {
	delete(c.objects, name)
	delete(c.stamped, name)
	c.removed[name] = c.revision
	if len(c.removed) > maxRemoved {
		c.forgetRemovals()
	}
}

// forgetRemovals drops the older half of the removals.
func (c *content) forgetRemovals() {
	revisions := slices.Sorted(maps.Values(c.removed))
	c.since = max(c.since, revisions[len(revisions)/2])
	maps.DeleteFunc(c.removed, func(_ string, revision uint64) bool { return revision <= c.since })
}

// tell needs the lock.
func (m *Mirror) tell(kind string, c *content) {
	m.changed(kind, c.sorted())
	close(m.news)
	m.news = make(chan struct{})
}

func (c *content) sorted() []hawthornrail.Object {
	list := make([]hawthornrail.Object, 0, len(c.objects))
	for _, name := range slices.Sorted(maps.Keys(c.objects)) {
		list = append(list, c.objects[name])
	}
	return list
}

// Later returns the objects of a kind if they are of a later revision than
// one held elsewhere.
func (m *Mirror) Later(kind string, revision uint64) (hawthornrail.ObjectChanges, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.kinds[kind]
	if !ok || c.revision <= revision {
		return hawthornrail.ObjectChanges{}, false
	}
	return hawthornrail.NewObjectChanges(c.revision, c.sorted(), nil), true
}

// Since returns what changed of a kind after a revision held elsewhere; known
// is false if only the whole list can tell.
func (m *Mirror) Since(kind string, revision uint64) (changes hawthornrail.ObjectChanges, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.kinds[kind]
	if !ok || revision == 0 || revision < c.since {
		return hawthornrail.ObjectChanges{}, false
	}
	var set []hawthornrail.Object
	for name, stamped := range c.stamped {
		if stamped > revision {
			set = append(set, c.objects[name])
		}
	}
	var removed []string
	for name, stamped := range c.removed {
		if stamped > revision {
			removed = append(removed, name)
		}
	}
	return hawthornrail.NewObjectChanges(c.revision, set, removed), true
}

// Changed reports whether an object of a kind has changed after a revision held
// elsewhere.
func (m *Mirror) Changed(kind string, revision uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.kinds[kind]
	if !ok {
		return false
	}
	if revision == 0 || revision < c.since {
		return c.revision > revision
	}
	return after(c.stamped, revision) || after(c.removed, revision)
}

// after reports whether one of the revisions is later than another.
func after(revisions map[string]uint64, revision uint64) bool {
	for _, r := range revisions {
		if r > revision {
			return true
		}
	}
	return false
}
