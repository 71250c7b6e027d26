package hawthornrail

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Snapshot is an immutable view of the configuration in force at a revision.
type Snapshot struct {
	revision     uint64
	deployments  map[string]Deployment
	keys         map[string]Key
	endpoints    map[string]Endpoint
	vms          map[string]VM
	diskVMs      []VM
	publicRoutes map[string]string
	routes       *RouteTable
	services     map[string]Service
	// retention is the longest time for which a route keeps the turns of conversations.
	retention   time.Duration
	evacuations Evacuations
}

// NewSnapshot returns a snapshot of the given objects at a revision.
func NewSnapshot(revision uint64, deployments []Deployment, keys []Key, endpoints []Endpoint, vms []VM) *Snapshot {
	s := &Snapshot{revision: revision, publicRoutes: make(map[string]string), routes: NewRouteTable(nil)}
	return s.WithDeployments(deployments).WithKeys(keys).WithEndpoints(endpoints).WithVMs(vms)
}

// WithDeployments returns a copy with the given deployments instead.
func (s *Snapshot) WithDeployments(deployments []Deployment) *Snapshot {
	c := *s
	c.deployments = make(map[string]Deployment, len(deployments))
	for _, d := range deployments {
		c.deployments[d.Name()] = d
	}
	return &c
}

// WithKeys returns a copy with the given keys instead.
func (s *Snapshot) WithKeys(keys []Key) *Snapshot {
	c := *s
	c.keys = make(map[string]Key, len(keys))
	for _, k := range keys {
		c.keys[k.ID()] = k
	}
	return &c
}

// WithEndpoints returns a copy with the given endpoints instead.
func (s *Snapshot) WithEndpoints(endpoints []Endpoint) *Snapshot {
	c := *s
	c.endpoints = make(map[string]Endpoint, len(endpoints))
	for _, e := range endpoints {
		c.endpoints[e.Name()] = e
	}
	return &c
}

// WithVMs returns a copy with the given VMs instead.
func (s *Snapshot) WithVMs(vms []VM) *Snapshot {
	c := *s
	c.vms = make(map[string]VM, len(vms))
	for _, v := range vms {
		c.vms[v.Name()] = v
	}
	return &c
}

// WithDiskVMs returns a copy with the given VMs that store turns of conversations.
func (s *Snapshot) WithDiskVMs(vms []VM) *Snapshot {
	c := *s
	c.diskVMs = slices.SortedFunc(slices.Values(vms), func(a, b VM) int { return strings.Compare(a.Name(), b.Name()) })
	return &c
}

// WithPublicRoutes returns a copy in which each path is accessible without a key
// and runs under a deployment. The keys of routes are the service name followed
// by the path, the values are deployment names.
func (s *Snapshot) WithPublicRoutes(routes map[string]string) *Snapshot {
	c := *s
	c.publicRoutes = routes
	return &c
}

// WithRoutes returns a copy with the given routes and services of forwarded
// requests instead.
func (s *Snapshot) WithRoutes(routes []Route, services []Service) *Snapshot {
	c := *s
	c.routes = NewRouteTable(routes)
	c.retention = 0
	for _, r := range routes {
		c.retention = max(c.retention, r.retention)
	}
	c.services = make(map[string]Service, len(services))
	for _, v := range services {
		c.services[v.Name()] = v
	}
	return &c
}

// WithEvacuations returns a copy with the given evacuations of data centres instead.
func (s *Snapshot) WithEvacuations(evacuations Evacuations) *Snapshot {
	c := *s
	c.evacuations = evacuations
	return &c
}

// AtRevision returns a copy with the same objects at a later revision.
func (s *Snapshot) AtRevision(revision uint64) *Snapshot {
	c := *s
	c.revision = revision
	return &c
}

// Revision returns the platform's revision that the snapshot reflects.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Deployment returns a deployment by name.
func (s *Snapshot) Deployment(name string) (Deployment, bool) {
	d, ok := s.deployments[name]
	return d, ok
}

// Deployments returns all deployments sorted by name.
func (s *Snapshot) Deployments() []Deployment {
	names := slices.Sorted(maps.Keys(s.deployments))
	list := make([]Deployment, 0, len(names))
	for _, n := range names {
		list = append(list, s.deployments[n])
	}
	return list
}

// Key returns a key by its id.
func (s *Snapshot) Key(id string) (Key, bool) {
	k, ok := s.keys[id]
	return k, ok
}

// Keys returns all keys sorted by id.
func (s *Snapshot) Keys() []Key {
	ids := slices.Sorted(maps.Keys(s.keys))
	list := make([]Key, 0, len(ids))
	for _, id := range ids {
		list = append(list, s.keys[id])
	}
	return list
}

// Endpoint returns an endpoint by name.
func (s *Snapshot) Endpoint(name string) (Endpoint, bool) {
	e, ok := s.endpoints[name]
	return e, ok
}

// Endpoints returns all endpoints sorted by name.
func (s *Snapshot) Endpoints() []Endpoint {
	names := slices.Sorted(maps.Keys(s.endpoints))
	list := make([]Endpoint, 0, len(names))
	for _, n := range names {
		list = append(list, s.endpoints[n])
	}
	return list
}

// VM returns a VM by name.
func (s *Snapshot) VM(name string) (VM, bool) {
	v, ok := s.vms[name]
	return v, ok
}

// EntryVMs returns the VMs that serve callers and have an address, sorted by name.
func (s *Snapshot) EntryVMs() []VM {
	return slices.DeleteFunc(s.VMs(), func(v VM) bool { return v.HoldsRates() || v.Address() == "" })
}

// VMs returns all VMs sorted by name.
func (s *Snapshot) VMs() []VM {
	names := slices.Sorted(maps.Keys(s.vms))
	list := make([]VM, 0, len(names))
	for _, n := range names {
		list = append(list, s.vms[n])
	}
	return list
}

// DiskVMs returns the VMs that store turns of conversations, sorted by name.
func (s *Snapshot) DiskVMs() []VM { return s.diskVMs }

// HasConversations reports whether a route has conversations.
func (s *Snapshot) HasConversations() bool { return s.retention > 0 }

// Retention returns the longest time for which a route's turns are kept after their responses,
// or 0 if no route has conversations.
func (s *Snapshot) Retention() time.Duration { return s.retention }

// PublicRoute returns the name of the deployment of a service's path that is
// accessible without a key.
func (s *Snapshot) PublicRoute(service, path string) (string, bool) {
	d, ok := s.publicRoutes[service+path]
	return d, ok
}

// Route returns the route of a forwarded request to a path at a host.
func (s *Snapshot) Route(host, path string) (Route, bool) { return s.routes.Find(host, path) }

// Service returns a service of forwarded requests by name.
func (s *Snapshot) Service(name string) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Evacuations returns the evacuations of data centres.
func (s *Snapshot) Evacuations() Evacuations { return s.evacuations }

// HasTeams reports whether any team is configured; without any, callers need
// no key.
func (s *Snapshot) HasTeams() bool { return len(s.deployments) > 0 }
