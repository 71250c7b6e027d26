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

// drainNoticeTimeout bounds how long a draining VM takes to notify the others.
const drainNoticeTimeout = time.Second

// Drain stops admitting and lending, waits until every grant of this VM has
// expired and notifies the other VMs that they need not reserve its shares.
func (f *Limiter) Drain(ctx context.Context) {
	f.draining.Store(true)
	if !clock.Wait(ctx, f.clock, share.GrantReserveTime) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drainNoticeTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, m := range f.members.Members() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			// A VM that this notification does not reach keeps the share
			// reserved.
			_ = f.remote.LeaveRates(ctx, m.Address())
		}()
	}
	wait.Wait()
}

// recordDrained records that an instance has drained, unless a later instance
// of its VM is known.
func (f *Limiter) recordDrained(from hawthornrail.Instance) {
	if m, ok := f.members.Member(from.VM()); ok && m.Instance().Incarnation() > from.Incarnation() {
		return
	}
	f.mu.Lock()
	f.drained[from.VM()] = max(f.drained[from.VM()], from.Incarnation())
	f.mu.Unlock()
	f.setStopped(from.VM(), true)
}

// recordRestart records that a later instance of a drained VM has started.
func (f *Limiter) recordRestart(from hawthornrail.Instance) {
	f.mu.Lock()
	incarnation, ok := f.drained[from.VM()]
	restarted := ok && from.Incarnation() > incarnation
	if restarted {
		delete(f.drained, from.VM())
	}
	f.mu.Unlock()
	if restarted {
		f.setStopped(from.VM(), false)
	}
}

func (f *Limiter) drainedVMs() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.drained)
}

func (f *Limiter) setStopped(vm string, stopped bool) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for _, e := range s.accounts {
			e.account.SetStopped(vm, stopped, f.clock.Now())
		}
		s.mu.Unlock()
	}
}
