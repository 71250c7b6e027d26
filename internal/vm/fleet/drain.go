package fleet

import (
	"context"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const callDrainPollInterval = 20 * time.Millisecond

// inFlightCalls counts the calls served for other VMs.
type inFlightCalls struct {
	mu       sync.Mutex
	draining bool
	inFlight int
	ended    int
}

// begin counts a new call, or returns false once the VM is draining.
func (c *inFlightCalls) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining {
		c.inFlight++
	}
	return !c.draining
}

func (c *inFlightCalls) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.ended++
}

func drainingFailure() error {
	f := hawthornrail.NotRun(hawthornrail.CodeDraining, "the program's home is shutting down")
	return f.WithRetryAfter(unreachableRetryAfter)
}

// InFlight returns the number of calls in flight for other VMs.
func (v *Receiver) InFlight() int {
	v.forwarded.mu.Lock()
	defer v.forwarded.mu.Unlock()
	return v.forwarded.inFlight
}

// Completed returns the number of calls completed for other VMs since the start.
func (v *Receiver) Completed() int {
	v.forwarded.mu.Lock()
	defer v.forwarded.mu.Unlock()
	return v.forwarded.ended
}

// Drain refuses new calls from other VMs and waits for those in flight.
func (v *Receiver) Drain(ctx context.Context, clock hawthornrail.Clock) {
	v.forwarded.mu.Lock()
	v.forwarded.draining = true
	v.forwarded.mu.Unlock()
	for ctx.Err() == nil && v.InFlight() > 0 {
		clock.Sleep(callDrainPollInterval)
	}
}
