package rate

import (
	"context"
	"maps"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/team/share"
)

// leaveTimeout bounds how long a VM that leaves tells the others.
const leaveTimeout = time.Second

// Leave stops admitting and lending, waits until no grant of this VM may be
// used and tells the other VMs that they need not reserve its parts.
func (f *Fleet) Leave(ctx context.Context) {
	f.left.Store(true)
	if !clock.Wait(ctx, f.clock, share.GrantHold) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, m := range f.members.Members() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			// A VM that is not told keeps the part reserved.
			_ = f.remote.Leave(ctx, m.Address())
		}()
	}
	wait.Wait()
}

// leaves records that an instance has left, unless a later one is known.
func (f *Fleet) leaves(from hawthornrail.Instance) {
	if m, ok := f.members.Member(from.VM()); ok && m.Instance().Incarnation() > from.Incarnation() {
		return
	}
	f.mu.Lock()
	f.gone[from.VM()] = max(f.gone[from.VM()], from.Incarnation())
	f.mu.Unlock()
	f.tellAccounts(from.VM(), true)
}

// returned records that a later instance of a VM that left has started.
func (f *Fleet) returned(from hawthornrail.Instance) {
	f.mu.Lock()
	incarnation, ok := f.gone[from.VM()]
	back := ok && from.Incarnation() > incarnation
	if back {
		delete(f.gone, from.VM())
	}
	f.mu.Unlock()
	if back {
		f.tellAccounts(from.VM(), false)
	}
}

func (f *Fleet) goneVMs() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.gone)
}

func (f *Fleet) tellAccounts(vm string, gone bool) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for _, e := range s.accounts {
			e.account.Gone(vm, gone, f.clock.Now())
		}
		s.mu.Unlock()
	}
}
