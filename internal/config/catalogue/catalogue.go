package catalogue

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Catalogue holds the configuration in force; it implements
// hawthornrail.Configuration.
type Catalogue struct {
	clock       hawthornrail.Clock
	lastContact func() time.Time
	snapshot    atomic.Pointer[hawthornrail.Snapshot]

	mu              sync.Mutex
	version         uint64
	engineServices  map[string]bool
	endpoints       []hawthornrail.Endpoint
	listedEndpoints []hawthornrail.Endpoint
	lapsed          lapsedEndpoints
	listedVMs       []hawthornrail.VM
	unlistedVMs     []hawthornrail.VM
}

// New returns an empty catalogue; lastContact returns when the source of the
// configuration last responded.
func New(clock hawthornrail.Clock, lastContact func() time.Time) *Catalogue {
	c := &Catalogue{clock: clock, lastContact: lastContact}
	c.snapshot.Store(hawthornrail.NewSnapshot(0, nil, nil, nil, nil))
	return c
}

// Snapshot returns the configuration in force.
func (c *Catalogue) Snapshot() *hawthornrail.Snapshot { return c.snapshot.Load() }

// Age returns how long ago the configuration was last known to be current.
func (c *Catalogue) Age() time.Duration { return c.clock.Since(c.lastContact()) }

// Accept puts a configuration in force. It returns false and changes nothing if
// the version is not later than that in force.
func (c *Catalogue) Accept(a hawthornrail.AcceptedConfig) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Version() <= c.version {
		return false
	}
	c.version = a.Version()
	c.engineServices = make(map[string]bool)
	for _, s := range a.Services() {
		c.engineServices[s.Name()] = s.Engine()
	}
	next := c.Snapshot().AtRevision(a.Version()).WithDeployments(a.Deployments()).WithKeys(a.Keys()).
		WithRoutes(a.Routes(), a.Services()).WithEndpoints(c.typedEndpoints())
	c.snapshot.Store(next)
	return true
}

// SetEndpoints replaces the endpoints. It keeps missing ones for the settling
// period, within which they may be registered again, and returns how many it
// keeps; Expire drops them.
func (c *Catalogue) SetEndpoints(list []hawthornrail.Endpoint, settling time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedEndpoints = list
	return c.mergeLocked(settling)
}

// Expire drops endpoints that have been missing for too long and returns how
// many missing ones it still keeps.
func (c *Catalogue) Expire() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mergeLocked(0)
}

func (c *Catalogue) mergeLocked(settling time.Duration) int {
	c.endpoints = c.lapsed.merge(c.endpoints, slices.Clone(c.listedEndpoints), settling, c.clock.Now())
	c.snapshot.Store(c.Snapshot().WithEndpoints(c.typedEndpoints()))
	return len(c.endpoints) - len(c.listedEndpoints)
}

// typedEndpoints returns the endpoints, each with the kind of its service.
func (c *Catalogue) typedEndpoints() []hawthornrail.Endpoint {
	list := make([]hawthornrail.Endpoint, 0, len(c.endpoints))
	for _, e := range c.endpoints {
		kind := hawthornrail.ServiceEndpoint
		for _, s := range e.Serves() {
			if c.engineServices[s] {
				kind = hawthornrail.EngineEndpoint
			}
		}
		list = append(list, e.WithKind(kind))
	}
	return list
}

// SetVMs replaces the VMs that the platform lists and those that store turns of conversations.
func (c *Catalogue) SetVMs(vms, diskVMs []hawthornrail.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedVMs = vms
	c.snapshot.Store(c.Snapshot().WithVMs(c.vmsLocked()).WithDiskVMs(diskVMs))
}

// SetUnlistedVMs replaces the VMs that serve callers although the platform does not list them.
func (c *Catalogue) SetUnlistedVMs(vms []hawthornrail.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlistedVMs = vms
	c.snapshot.Store(c.Snapshot().WithVMs(c.vmsLocked()))
}

// vmsLocked returns all VMs; an entry of the platform goes before what VMs say.
func (c *Catalogue) vmsLocked() []hawthornrail.VM { return slices.Concat(c.unlistedVMs, c.listedVMs) }

// SetEvacuations puts the evacuations of a list in force, as of a revision of the
// platform's store. It returns those before and those now in force.
func (c *Catalogue) SetEvacuations(list []hawthornrail.Evacuation, revision uint64) (before, now hawthornrail.Evacuations) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before = c.Snapshot().Evacuations()
	now = before.Next(list, revision, c.clock.Now())
	c.snapshot.Store(c.Snapshot().WithEvacuations(now))
	return before, now
}
