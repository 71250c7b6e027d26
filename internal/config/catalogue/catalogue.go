package catalogue

import (
	"sync"
	"sync/atomic"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Catalogue holds the configuration in force; it implements
// hawthornrail.Configuration.
type Catalogue struct {
	clock    hawthornrail.Clock
	contact  func() time.Time
	snapshot atomic.Pointer[hawthornrail.Snapshot]

	mu        sync.Mutex
	version   uint64
	engines   map[string]bool
	endpoints []hawthornrail.Endpoint
}

// New returns an empty catalogue; contact says when its source last answered.
func New(clock hawthornrail.Clock, contact func() time.Time) *Catalogue {
	c := &Catalogue{clock: clock, contact: contact}
	c.snapshot.Store(hawthornrail.NewSnapshot(0, nil, nil, nil, nil))
	return c
}

// Snapshot returns the configuration in force.
func (c *Catalogue) Snapshot() *hawthornrail.Snapshot { return c.snapshot.Load() }

// Age returns how long ago the configuration was last known to be current.
func (c *Catalogue) Age() time.Duration { return c.clock.Since(c.contact()) }

// Accept puts a version in force; an older one than that in force changes
// nothing and returns false.
func (c *Catalogue) Accept(a hawthornrail.AcceptedConfig) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Version() <= c.version {
		return false
	}
	c.version = a.Version()
	c.engines = make(map[string]bool)
	for _, s := range a.Services() {
		c.engines[s.Name()] = s.Engine()
	}
	next := c.Snapshot().AtRevision(a.Version()).WithDeployments(a.Deployments()).WithKeys(a.Keys()).
		WithRoutes(a.Routes(), a.Services()).WithEndpoints(c.typed())
	c.snapshot.Store(next)
	return true
}

// SetEndpoints replaces the endpoints.
func (c *Catalogue) SetEndpoints(endpoints []hawthornrail.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints = endpoints
	c.snapshot.Store(c.Snapshot().WithEndpoints(c.typed()))
}

// typed returns the endpoints with the kind that their service has.
func (c *Catalogue) typed() []hawthornrail.Endpoint {
	list := make([]hawthornrail.Endpoint, 0, len(c.endpoints))
	for _, e := range c.endpoints {
		kind := hawthornrail.ServiceEndpoint
		for _, s := range e.Serves() {
			if c.engines[s] {
				kind = hawthornrail.EngineEndpoint
			}
		}
		list = append(list, e.WithKind(kind))
	}
	return list
}

// SetVMs replaces the VMs.
func (c *Catalogue) SetVMs(vms []hawthornrail.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot.Store(c.Snapshot().WithVMs(vms))
}
