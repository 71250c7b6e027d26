package client

import (
	"sync"
	"time"
)

// laggardPause is how long a VM that did not store a turn in time is preferred least. Then
// the next turn shows whether it stores them again.
const laggardPause = time.Second

// avoided are VMs that get turns only if others do not suffice, until a time each.
type avoided struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newAvoided() *avoided { return &avoided{until: make(map[string]time.Time)} }

// add avoids the VM at an address until a time.
func (a *avoided) add(address string, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[address] = until
}

// remove avoids the VM at an address no longer.
func (a *avoided) remove(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.until, address)
}

// left returns how much longer the VM at an address is avoided; it is 0 if it isn't.
func (a *avoided) left(address string, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(0, a.until[address].Sub(now))
}
