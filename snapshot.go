package hawthornrail

import (
	"maps"
	"slices"
)

// Snapshot is the configuration in force at one moment; it does not change.
type Snapshot struct {
	revision    uint64
	deployments map[string]Deployment
	keys        map[string]Key
	endpoints   map[string]Endpoint
	vms         map[string]VM
	openRoutes  map[string]string
}

// NewSnapshot returns a snapshot of the given objects at a revision.
func NewSnapshot(revision uint64, deployments []Deployment, keys []Key, endpoints []Endpoint, vms []VM) *Snapshot {
	s := &Snapshot{
		revision:    revision,
		deployments: make(map[string]Deployment, len(deployments)),
		keys:        make(map[string]Key, len(keys)),
		endpoints:   make(map[string]Endpoint, len(endpoints)),
		vms:         make(map[string]VM, len(vms)),
		openRoutes:  make(map[string]string),
	}
	for _, d := range deployments {
		s.deployments[d.Name()] = d
	}
	for _, k := range keys {
		s.keys[k.ID()] = k
	}
	for _, e := range endpoints {
		s.endpoints[e.Name()] = e
	}
	for _, v := range vms {
		s.vms[v.Name()] = v
	}
	return s
}

// WithOpenRoutes returns a copy in which each path prefix is open to all and
// runs under the named deployment.
func (s *Snapshot) WithOpenRoutes(routes map[string]string) *Snapshot {
	c := *s
	c.openRoutes = routes
	return &c
}

// AtRevision returns a copy that reflects a later revision with the same
// objects.
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

// Deployments returns all deployments by name.
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

// Keys returns all keys by id.
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

// Endpoints returns all endpoints by name.
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

// VMs returns all VMs by name.
func (s *Snapshot) VMs() []VM {
	names := slices.Sorted(maps.Keys(s.vms))
	list := make([]VM, 0, len(names))
	for _, n := range names {
		list = append(list, s.vms[n])
	}
	return list
}

// OpenRoute returns the deployment of a path that is open to all.
func (s *Snapshot) OpenRoute(path string) (string, bool) {
	d, ok := s.openRoutes[path]
	return d, ok
}
