package state

import (
	"errors"
	"fmt"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
)

// State holds the newest version seen of every object.
type State struct {
	revision uint64
	held     map[string]objects.Object
}

// New returns an empty state at revision 0.
func New() *State {
	return &State{held: make(map[string]objects.Object)}
}

// Revision returns the highest revision known to be complete.
func (s *State) Revision() uint64 { return s.revision }

// Change takes objects of a watch that is complete up to a revision and
// reports whether anything changed.
func (s *State) Change(changed []objects.Object, revision uint64) bool {
	any := false
	for _, o := range changed {
		any = s.take(o) || any
	}
	s.revision = max(s.revision, revision)
	return any
}

// Replace takes a full list at a revision; a list older than the state
// changes nothing.
func (s *State) Replace(all []objects.Object, revision uint64) bool {
	if revision < s.revision {
		return false
	}
	listed := make(map[string]bool, len(all))
	for _, o := range all {
		listed[key(o)] = true
	}
	any := s.Change(all, revision)
	for k, o := range s.held {
		if !listed[k] && !o.Deleted && o.Version <= revision {
			o.Deleted, o.Value, o.Version = true, nil, revision
			s.held[k] = o
			any = true
		}
	}
	return any
}

func (s *State) take(o objects.Object) bool {
	current, ok := s.held[key(o)]
	if ok && current.Version >= o.Version {
		return false
	}
	s.held[key(o)] = o
	return true
}

func key(o objects.Object) string { return o.Kind + "/" + o.Name }

// Snapshot returns the objects in force and the errors of those that can't
// be read, which are left out.
func (s *State) Snapshot() (*hawthornrail.Snapshot, error) {
	var b builder
	for _, o := range s.held {
		if o.Deleted {
			continue
		}
		if err := b.add(o); err != nil {
			b.errs = append(b.errs, err)
		}
	}
	snapshot := hawthornrail.NewSnapshot(s.revision, b.deployments, b.keys, b.endpoints, b.vms)
	return snapshot.WithOpenRoutes(b.routes), errors.Join(b.errs...)
}

type builder struct {
	deployments []hawthornrail.Deployment
	keys        []hawthornrail.Key
	endpoints   []hawthornrail.Endpoint
	vms         []hawthornrail.VM
	routes      map[string]string
	errs        []error
}

func (b *builder) add(o objects.Object) error {
	switch o.Kind {
	case objects.KindDeployment:
		var v objects.Deployment
		if err := o.Decode(&v); err != nil {
			return err
		}
		b.deployments = append(b.deployments, v.ToDomain(o.Name, o.Version))
	case objects.KindKey:
		var v objects.Key
		if err := o.Decode(&v); err != nil {
			return err
		}
		b.keys = append(b.keys, v.ToDomain(o.Name))
	case objects.KindEndpoint:
		var v objects.Endpoint
		if err := o.Decode(&v); err != nil {
			return err
		}
		b.endpoints = append(b.endpoints, v.ToDomain(o.Name))
	case objects.KindVM:
		var v objects.VM
		if err := o.Decode(&v); err != nil {
			return err
		}
		b.vms = append(b.vms, v.ToDomain(o.Name))
	case objects.KindRoute:
		return b.addRoute(o)
	}
	return nil
}

func (b *builder) addRoute(o objects.Object) error {
	var v objects.Route
	if err := o.Decode(&v); err != nil {
		return err
	}
	if v.Path == "" {
		return fmt.Errorf("object %s/%s: no path", o.Kind, o.Name)
	}
	if b.routes == nil {
		b.routes = make(map[string]string)
	}
	b.routes[v.Path] = v.Deployment
	return nil
}
