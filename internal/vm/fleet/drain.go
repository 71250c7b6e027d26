package fleet

import (
	"context"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const drainPoll = 20 * time.Millisecond

// underWay counts the calls served for other VMs.
type underWay struct {
	mu     sync.Mutex
	closed bool
	calls  int
	ended  int
}

// begin counts a call, or returns false once the VM takes no more.
func (u *underWay) begin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.closed {
		u.calls++
	}
	return !u.closed
}

func (u *underWay) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.calls--
	u.ended++
}

func leaving() error {
	f := hawthornrail.NotRun(hawthornrail.CodeLeaving, "the program's home is shutting down")
	return f.WithRetryAfter(unreachableRetryAfter)
}

// UnderWay returns the number of calls under way for other VMs.
func (v *Receiver) UnderWay() int {
	v.calls.mu.Lock()
	defer v.calls.mu.Unlock()
	return v.calls.calls
}

// Ended returns the number of calls answered to other VMs since the start.
func (v *Receiver) Ended() int {
	v.calls.mu.Lock()
	defer v.calls.mu.Unlock()
	return v.calls.ended
}

// Drain refuses new calls of other VMs and waits until those under way have
// ended.
func (v *Receiver) Drain(ctx context.Context, clock hawthornrail.Clock) {
	v.calls.mu.Lock()
	v.calls.closed = true
	v.calls.mu.Unlock()
	for ctx.Err() == nil && v.UnderWay() > 0 {
		clock.Sleep(drainPoll)
	}
}
