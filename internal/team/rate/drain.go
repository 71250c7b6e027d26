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
func (l *Limiter) Drain(ctx context.Context) {
	l.draining.Store(true)
	if !clock.Wait(ctx, l.clock, share.GrantReserveTime) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drainNoticeTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, m := range l.members.Members() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			// A VM that this notification does not reach keeps the share
			// reserved.
			_ = l.remote.LeaveRates(ctx, m.Address())
		}()
	}
	wait.Wait()
}

// recordDrained records that an instance has drained, unless a later instance
// of its VM is known.
func (l *Limiter) recordDrained(from hawthornrail.Instance) {
	if m, ok := l.members.Member(from.VM()); ok && m.Instance().Incarnation() > from.Incarnation() {
		return
	}
	l.mu.Lock()
	l.drained[from.VM()] = max(l.drained[from.VM()], from.Incarnation())
	l.mu.Unlock()
	l.setStopped(from.VM(), true)
}

// recordRestart records that a later instance of a drained VM has started.
func (l *Limiter) recordRestart(from hawthornrail.Instance) {
	l.mu.Lock()
	incarnation, ok := l.drained[from.VM()]
	restarted := ok && from.Incarnation() > incarnation
	if restarted {
		delete(l.drained, from.VM())
	}
	l.mu.Unlock()
	if restarted {
		l.setStopped(from.VM(), false)
	}
}

func (l *Limiter) drainedVMs() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.drained)
}

func (l *Limiter) setStopped(vm string, stopped bool) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, e := range s.accounts {
			e.account.SetStopped(vm, stopped, l.clock.Now())
		}
		s.mu.Unlock()
	}
}
