package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/overload"
)

// maxServices is the maximum number of services for which a state is kept; requests of
// others are admitted.
const maxServices = 256

// Gate decides on the requests of all services.
type Gate struct {
	clock  hawthornrail.Clock
	params overload.Params

	mu       sync.Mutex
	services map[string]*overload.Controller
}

// New returns a gate without any observations, which admits all requests.
func New(clock hawthornrail.Clock, params overload.Params) *Gate {
	return &Gate{clock: clock, params: params, services: make(map[string]*overload.Controller)}
}

// Admit decides on a request of a service and counts it as in flight if it is admitted.
func (g *Gate) Admit(service string, r overload.Request) overload.Decision {
	decision := overload.Admitted()
	g.with(service, func(c *overload.Controller, now time.Time) { decision = c.Admit(r, now) })
	return decision
}

// Report records the load that an endpoint of a service has reported.
func (g *Gate) Report(service string, running, waiting, slots int) {
	g.with(service, func(c *overload.Controller, now time.Time) { c.Report(running, waiting, slots, now) })
}

// Done records the end of an admitted request of a service, and its duration if it was
// served.
func (g *Gate) Done(service string, served bool, took time.Duration) {
	g.with(service, func(c *overload.Controller, now time.Time) { c.Done(served, took, now) })
}

func (g *Gate) with(service string, apply func(*overload.Controller, time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.services[service]
	if !ok {
		if len(g.services) >= maxServices {
			return
		}
		c = overload.New(g.params, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		g.services[service] = c
	}
	apply(c, g.clock.Now())
}
