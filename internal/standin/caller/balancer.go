package caller

import (
	"math/rand/v2"
	"sync"
	"time"
)

// leaveOutTime is how long a VM that refused a connection gets no requests,
// as behind a balancer that checks its VMs' health.
const leaveOutTime = time.Second

// balancer spreads requests over the VMs that take connections.
type balancer struct {
	vms []string

	mu      sync.Mutex
	leftOut map[string]time.Time
}

func newBalancer(vms []string) *balancer {
	return &balancer{vms: vms, leftOut: make(map[string]time.Time)}
}

// choose returns a random VM that is not left out, or any if all are.
func (b *balancer) choose(random *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var open []string
	for _, vm := range b.vms {
		if now.After(b.leftOut[vm]) {
			open = append(open, vm)
		}
	}
	if len(open) == 0 {
		open = b.vms
	}
	return open[random.IntN(len(open))]
}

func (b *balancer) refused(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leftOut[vm] = time.Now().Add(leaveOutTime)
}
