package unlisted

import (
	"cmp"
	"slices"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// lifetime is how long a VM counts after it was heard last; word of it passes through
	// several VMs.
	lifetime = 10 * time.Second
	// announceDelay is how long a VM that has registered waits for the platform to list it.
	announceDelay = 500 * time.Millisecond
	// maxVMs bounds the VMs that are known at once.
	maxVMs = 512
)

// Table holds the VMs that are not listed.
type Table struct {
	clock hawthornrail.Clock
	// changed is called with the VMs when they have changed; it must not call the table.
	changed func(vms []hawthornrail.VM)

	mu   sync.Mutex
	self hawthornrail.VM
	// selfFrom is when this VM begins to tell others of itself.
	selfFrom time.Time
	listed   map[string]bool
	heard    map[string]entry
	// reported are the VMs with which changed was called last.
	reported []hawthornrail.VM
}

// entry is a VM and when it was heard last.
type entry struct {
	vm hawthornrail.VM
	at time.Time
}

// NewTable returns a table without VMs; changed is called with the VMs, sorted by name, when
// they have changed, and must not call the table.
func NewTable(clock hawthornrail.Clock, changed func(vms []hawthornrail.VM)) *Table {
	return &Table{clock: clock, changed: changed, listed: make(map[string]bool), heard: make(map[string]entry)}
}

// Announce tells other VMs of this one, which registers now, for as long as it is not listed.
func (t *Table) Announce(self hawthornrail.VM) {
	t.update(func(now time.Time) { t.self, t.selfFrom = self.WithoutRates(), now.Add(announceDelay) })
}

// Withdraw ends Announce.
func (t *Table) Withdraw() { t.update(func(time.Time) { t.self = hawthornrail.VM{} }) }

// SetListed sets the VMs that the platform lists.
func (t *Table) SetListed(vms []hawthornrail.VM) {
	t.update(func(time.Time) {
		t.listed = make(map[string]bool, len(vms))
		for _, v := range vms {
			t.listed[v.Name()] = true
		}
	})
}

// Merge adds what another VM knows.
func (t *Table) Merge(messages []*vmpb.UnlistedVM) {
	t.update(func(now time.Time) {
		for _, m := range messages {
			at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
			known, ok := t.heard[m.GetName()]
			if m.GetName() == "" || m.GetAddress() == "" || ok && !at.After(known.at) || !ok && len(t.heard) >= maxVMs {
				continue
			}
			vm := hawthornrail.NewVM(m.GetName(), m.GetDataCentre(), m.GetAddress(), false)
			t.heard[m.GetName()] = entry{vm: vm.WithoutRates(), at: at}
		}
	})
}

// Messages returns what other VMs are to be told.
func (t *Table) Messages() []*vmpb.UnlistedVM {
	t.update(func(time.Time) {})
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	messages := make([]*vmpb.UnlistedVM, 0, len(t.heard))
	for _, e := range t.heard {
		messages = append(messages, &vmpb.UnlistedVM{
			Name: e.vm.Name(), DataCentre: e.vm.DataCentre(), Address: e.vm.Address(), AgeMs: uint32(now.Sub(e.at).Milliseconds()),
		})
	}
	return messages
}

// Contains reports whether a VM is one of those that are not listed.
func (t *Table) Contains(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.heard[name]
	return ok
}

// update changes the table, drops the VMs that are listed or were not heard for their lifetime,
// and calls changed if that changes the VMs.
func (t *Table) update(change func(now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	change(now)
	if t.self.Name() != "" && !now.Before(t.selfFrom) {
		t.heard[t.self.Name()] = entry{vm: t.self, at: now}
	}
	vms := make([]hawthornrail.VM, 0, len(t.heard))
	for name, e := range t.heard {
		if t.listed[name] || now.Sub(e.at) >= lifetime {
			delete(t.heard, name)
			continue
		}
		vms = append(vms, e.vm)
	}
	slices.SortFunc(vms, func(a, b hawthornrail.VM) int { return cmp.Compare(a.Name(), b.Name()) })
	if slices.Equal(vms, t.reported) {
		return
	}
	t.reported = vms
	// Called with the lock, so that the VMs arrive in order.
	t.changed(vms)
}
