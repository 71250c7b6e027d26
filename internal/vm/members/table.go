package members

import (
	"maps"
	"slices"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// maxUpdates bounds the updates that one message carries.
const maxUpdates = 8

// updateRepeats is how many messages carry an update before this VM stops
// spreading it.
const updateRepeats = 6

// rotatedMembers is how many members a message carries in addition to the
// updates; they reach the VMs that have missed an update.
const rotatedMembers = 2

// Table is one VM's view of the membership; it implements
// hawthornrail.Membership.
type Table struct {
	mu        sync.Mutex
	self      hawthornrail.Member
	members   map[string]hawthornrail.Member
	sendsLeft map[string]int
	rotation  int
}

// NewTable returns a table that contains only self.
func NewTable(self hawthornrail.Member) *Table {
	return &Table{
		self:      self,
		members:   make(map[string]hawthornrail.Member),
		sendsLeft: map[string]int{self.VM(): updateRepeats},
	}
}

// Self returns this VM's entry.
func (t *Table) Self() hawthornrail.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// MarkDraining marks this VM as draining and spreads that as an update.
func (t *Table) MarkDraining() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = hawthornrail.NewMember(t.self.Instance(), t.self.Address(), true, t.self.LastReply())
	t.sendsLeft[t.self.VM()] = updateRepeats
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

// Member returns the latest known instance of a VM.
func (t *Table) Member(vm string) (hawthornrail.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[vm]
	return m, ok
}

// UpdateVMs applies the VMs of the configuration: it adds new ones, updates
// addresses and removes VMs that are no longer configured and have not been in
// contact since deadline.
func (t *Table) UpdateVMs(vms []hawthornrail.VM, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	configured := make(map[string]bool, len(vms))
	for _, v := range vms {
		configured[v.Name()] = true
		if v.Name() == t.self.VM() {
			continue
		}
		m, ok := t.members[v.Name()]
		instance := m.Instance()
		if !ok {
			instance = hawthornrail.NewInstance(v.Name(), v.DataCentre(), 0)
		}
		t.members[v.Name()] = hawthornrail.NewMember(instance, v.Address(), m.Draining() || v.Draining(), m.LastReply())
	}
	for name, m := range t.members {
		if !configured[name] && m.LastReply().Before(deadline) {
			delete(t.members, name)
		}
	}
}

// RecordContact records that this VM received a message from a member itself.
func (t *Table) RecordContact(m hawthornrail.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(m)
	current, ok := t.members[m.VM()]
	if ok && current.Instance() == m.Instance() {
		t.members[m.VM()] = hawthornrail.NewMember(m.Instance(), m.Address(), current.Draining(), now)
	}
}

// MergeUpdates merges the updates that another member relayed.
func (t *Table) MergeUpdates(updates []hawthornrail.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range updates {
		t.merge(m)
	}
}

// merge accepts a later incarnation, or that the same one is draining.
func (t *Table) merge(m hawthornrail.Member) {
	if m.VM() == t.self.VM() || m.Instance().IsZero() {
		return
	}
	current, ok := t.members[m.VM()]
	older := ok && m.Instance().Incarnation() < current.Instance().Incarnation()
	same := ok && m.Instance().Incarnation() == current.Instance().Incarnation()
	if older || same && (current.Draining() || !m.Draining()) {
		return
	}
	t.members[m.VM()] = hawthornrail.NewMember(m.Instance(), m.Address(), m.Draining(), current.LastReply())
	t.sendsLeft[m.VM()] = updateRepeats
}

// Updates returns the updates to send with a message, the least sent first, and
// counts them as sent; it adds some other members in rotation.
func (t *Table) Updates() []hawthornrail.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := slices.Sorted(maps.Keys(t.sendsLeft))
	slices.SortStableFunc(names, func(a, b string) int { return t.sendsLeft[b] - t.sendsLeft[a] })
	var updates []hawthornrail.Member
	for _, name := range names[:min(maxUpdates, len(names))] {
		m, ok := t.members[name]
		if name == t.self.VM() {
			m, ok = t.self, true
		}
		if ok {
			updates = append(updates, m)
		}
		t.sendsLeft[name]--
		if t.sendsLeft[name] <= 0 {
			delete(t.sendsLeft, name)
		}
	}
	return append(updates, t.rotate()...)
}

func (t *Table) rotate() []hawthornrail.Member {
	names := slices.Sorted(maps.Keys(t.members))
	var selected []hawthornrail.Member
	for range min(rotatedMembers, len(names)) {
		t.rotation = (t.rotation + 1) % len(names)
		selected = append(selected, t.members[names[t.rotation]])
	}
	return selected
}
