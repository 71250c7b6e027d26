package caller

import (
	"math/rand/v2"
	"sync"
	"time"
)

// ejectionTime is how long a VM that failed a request receives no further ones,
// as behind a load balancer with health checks.
const ejectionTime = time.Second

// balancer distributes requests over the VMs that are not ejected.
type balancer struct {
	vms []string

	mu           sync.Mutex
	ejectedUntil map[string]time.Time
}

func newBalancer(vms []string) *balancer {
	return &balancer{vms: vms, ejectedUntil: make(map[string]time.Time)}
}

// pick returns a random VM that is not ejected, or any VM if all are ejected.
func (b *balancer) pick(random *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var available []string
	for _, vm := range b.vms {
		if now.After(b.ejectedUntil[vm]) {
			available = append(available, vm)
		}
	}
	if len(available) == 0 {
		available = b.vms
	}
	return available[random.IntN(len(available))]
}

func (b *balancer) eject(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ejectedUntil[vm] = time.Now().Add(ejectionTime)
}
