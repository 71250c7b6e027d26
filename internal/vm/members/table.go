package members

import (
	"maps"
	"slices"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// maxNews bounds the members that one message carries.
const maxNews = 8

// newsRepeats is how often a change is passed on before it counts as spread.
const newsRepeats = 6

// rotatedMembers is how many members that are no news a message carries; they
// reach the VMs that the news has missed.
const rotatedMembers = 2

// Table is the list of VMs as one of them knows it; it implements
// hawthornrail.Membership.
type Table struct {
	mu      sync.Mutex
	self    hawthornrail.Member
	members map[string]hawthornrail.Member
	news    map[string]int
	rotated int
}

// NewTable returns a table that knows only self.
func NewTable(self hawthornrail.Member) *Table {
	return &Table{
		self:    self,
		members: make(map[string]hawthornrail.Member),
		news:    map[string]int{self.VM(): newsRepeats},
	}
}

// Self returns this VM's entry.
func (t *Table) Self() hawthornrail.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Leave marks this VM as leaving and makes that news.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = hawthornrail.NewMember(t.self.Instance(), t.self.Address(), true, t.self.Heard())
	t.news[t.self.VM()] = newsRepeats
}

// Members returns all other VMs by name.
func (t *Table) Members() []hawthornrail.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := slices.Sorted(maps.Keys(t.members))
	list := make([]hawthornrail.Member, 0, len(names))
	for _, name := range names {
		list = append(list, t.members[name])
	}
	return list
}

// Member returns the newest instance heard of a VM.
func (t *Table) Member(vm string) (hawthornrail.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[vm]
	return m, ok
}

// List takes the VMs of the configuration: it adds unknown ones, follows
// their addresses and drops VMs that are listed no longer and have not
// answered since deadline.
func (t *Table) List(vms []hawthornrail.VM, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(vms))
	for _, v := range vms {
		listed[v.Name()] = true
		if v.Name() == t.self.VM() {
			continue
		}
		m, ok := t.members[v.Name()]
		instance := m.Instance()
		if !ok {
			instance = hawthornrail.NewInstance(v.Name(), v.DataCentre(), 0)
		}
		t.members[v.Name()] = hawthornrail.NewMember(instance, v.Address(), m.Leaving() || v.Leaving(), m.Heard())
	}
	for name, m := range t.members {
		if !listed[name] && m.Heard().Before(deadline) {
			delete(t.members, name)
		}
	}
}

// Answered records that a member itself sent a message.
func (t *Table) Answered(m hawthornrail.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(m)
	known, ok := t.members[m.VM()]
	if ok && known.Instance() == m.Instance() {
		t.members[m.VM()] = hawthornrail.NewMember(m.Instance(), m.Address(), known.Leaving(), now)
	}
}

// Heard merges news that another member passed on.
func (t *Table) Heard(news []hawthornrail.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range news {
		t.merge(m)
	}
}

// merge takes a later incarnation, or the fact that the same one is leaving.
func (t *Table) merge(m hawthornrail.Member) {
	if m.VM() == t.self.VM() || m.Instance().IsZero() {
		return
	}
	known, ok := t.members[m.VM()]
	older := ok && m.Instance().Incarnation() < known.Instance().Incarnation()
	same := ok && m.Instance().Incarnation() == known.Instance().Incarnation()
	if older || same && (known.Leaving() || !m.Leaving()) {
		return
	}
	t.members[m.VM()] = hawthornrail.NewMember(m.Instance(), m.Address(), m.Leaving(), known.Heard())
	t.news[m.VM()] = newsRepeats
}

// News returns the changes that are not spread yet, the newest first, counts
// them as passed on once more, and adds some other members in turn.
func (t *Table) News() []hawthornrail.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := slices.Sorted(maps.Keys(t.news))
	slices.SortStableFunc(names, func(a, b string) int { return t.news[b] - t.news[a] })
	var list []hawthornrail.Member
	for _, name := range names[:min(maxNews, len(names))] {
		m, ok := t.members[name]
		if name == t.self.VM() {
			m, ok = t.self, true
		}
		if ok {
			list = append(list, m)
		}
		t.news[name]--
		if t.news[name] <= 0 {
			delete(t.news, name)
		}
	}
	return append(list, t.rotate()...)
}

func (t *Table) rotate() []hawthornrail.Member {
	names := slices.Sorted(maps.Keys(t.members))
	var list []hawthornrail.Member
	for range min(rotatedMembers, len(names)) {
		t.rotated = (t.rotated + 1) % len(names)
		list = append(list, t.members[names[t.rotated]])
	}
	return list
}
