package state

import (
	"fmt"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
)

// decodedValue is the decoded value of one object.
type decodedValue interface {
	addTo(b *builder)
}

// builder collects the decoded values for a snapshot.
type builder struct {
	deployments []hawthornrail.Deployment
	keys        []hawthornrail.Key
	endpoints   []hawthornrail.Endpoint
	vms         []hawthornrail.VM
	routes      map[string]string
}

// snapshot returns last with the objects of the changed kinds replaced.
func (b *builder) snapshot(last *hawthornrail.Snapshot, changedKinds map[string]bool) *hawthornrail.Snapshot {
	if changedKinds[objects.KindDeployment] {
		last = last.WithDeployments(b.deployments)
	}
	if changedKinds[objects.KindKey] {
		last = last.WithKeys(b.keys)
	}
	if changedKinds[objects.KindEndpoint] {
		last = last.WithEndpoints(b.endpoints)
	}
	if changedKinds[objects.KindVM] {
		last = last.WithVMs(b.vms)
	}
	if changedKinds[objects.KindRoute] {
		last = last.WithPublicRoutes(b.routes)
	}
	return last
}

type (
	deploymentValue struct{ value hawthornrail.Deployment }
	keyValue        struct{ value hawthornrail.Key }
	endpointValue   struct{ value hawthornrail.Endpoint }
	vmValue         struct{ value hawthornrail.VM }
	routeValue      struct{ value objects.Route }
)

func (v deploymentValue) addTo(b *builder) { b.deployments = append(b.deployments, v.value) }
func (v keyValue) addTo(b *builder)        { b.keys = append(b.keys, v.value) }
func (v endpointValue) addTo(b *builder)   { b.endpoints = append(b.endpoints, v.value) }
func (v vmValue) addTo(b *builder)         { b.vms = append(b.vms, v.value) }

func (v routeValue) addTo(b *builder) {
	if b.routes == nil {
		b.routes = make(map[string]string)
	}
	b.routes[v.value.Service+v.value.Path] = v.value.Deployment
}

// decode returns the decoded value of an object, or nil for a kind that a
// snapshot does not contain.
func decode(o objects.Object) (decodedValue, error) {
	switch o.Kind {
	case objects.KindDeployment:
		var v objects.Deployment
		err := o.Decode(&v)
		return valueOrError(deploymentValue{v.ToDomain(o.Name, o.Version)}, err)
	case objects.KindKey:
		var v objects.Key
		err := o.Decode(&v)
		return valueOrError(keyValue{v.ToDomain(o.Name)}, err)
	case objects.KindEndpoint:
		var v objects.Endpoint
		err := o.Decode(&v)
		return valueOrError(endpointValue{v.ToDomain(o.Name)}, err)
	case objects.KindVM:
		var v objects.VM
		err := o.Decode(&v)
		return valueOrError(vmValue{v.ToDomain(o.Name)}, err)
	case objects.KindRoute:
		var v objects.Route
		err := o.Decode(&v)
		if err == nil && (v.Service == "" || v.Path == "") {
			err = fmt.Errorf("object %s/%s: no service or no path", o.Kind, o.Name)
		}
		return valueOrError(routeValue{v}, err)
	case objects.KindChange:
		var v objects.Change
		return nil, o.Decode(&v)
	default:
		return nil, nil
	}
}

func valueOrError(value decodedValue, err error) (decodedValue, error) {
	if err != nil {
		return nil, err
	}
	return value, nil
}

// changeObjects returns the objects that a change object puts in force at once,
// each at the version of the change.
func changeObjects(o objects.Object) []objects.Object {
	if o.Kind != objects.KindChange || o.Deleted {
		return nil
	}
	var c objects.Change
	if err := o.Decode(&c); err != nil {
		return nil
	}
	list := make([]objects.Object, 0, len(c.Objects))
	for _, member := range c.Objects {
		list = append(list, objects.Object{
			Kind: member.Kind, Name: member.Name, Version: o.Version, Deleted: member.Deleted, Value: member.Value,
		})
	}
	return list
}
