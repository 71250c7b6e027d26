package change

import (
	"context"
	"errors"
	"fmt"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/state"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
)

// Live is the configuration in force at one revision.
type Live struct {
	state    *state.State
	snapshot *hawthornrail.Snapshot
	objects  []objects.Object
	head     objects.Object
	latest   objects.Change
	capacity float64
}

// Load reads the configuration in force. It first finishes a change that another
// operator left incomplete.
func (e *Editor) Load(ctx context.Context) (Live, error) {
	l, err := e.read(ctx)
	if err != nil || len(l.latest.Objects) == 0 {
		return l, err
	}
	if err := e.finish(ctx, l.head, l.latest); err != nil {
		return l, fmt.Errorf("finish change %s of another operator: %w", l.latest.ID, err)
	}
	return e.read(ctx)
}

func (e *Editor) read(ctx context.Context) (Live, error) {
	listing, err := e.platform.List(ctx, "")
	if err != nil {
		return Live{}, err
	}
	l := Live{state: state.New(), objects: listing.Objects}
	l.state.Replace(listing.Objects, listing.Revision)
	l.snapshot, err = l.state.Snapshot()
	l.head = l.Object(objects.KindChange, objects.ChangeName)
	if l.head.Version > 0 {
		err = errors.Join(err, l.head.Decode(&l.latest))
	}
	if o := l.Object(objects.KindCapacity, objects.CapacityName); o.Version > 0 {
		var c objects.Capacity
		err = errors.Join(err, o.Decode(&c))
		l.capacity = c.RatePerSecond
	}
	return l, err
}

// Snapshot returns the configuration in the form that VMs use.
func (l Live) Snapshot() *hawthornrail.Snapshot { return l.snapshot }

// Capacity returns the stated capacity in requests per second, or 0.
func (l Live) Capacity() float64 { return l.capacity }

// Object returns an object, or an empty one of version 0 if it does not exist.
func (l Live) Object(kind, name string) objects.Object {
	for _, o := range l.objects {
		if o.Kind == kind && o.Name == name {
			return o
		}
	}
	return objects.Object{Kind: kind, Name: name}
}

// Objects returns all objects of a kind.
func (l Live) Objects(kind string) []objects.Object {
	var list []objects.Object
	for _, o := range l.objects {
		if o.Kind == kind {
			list = append(list, o)
		}
	}
	return list
}

// After returns the configuration that results from a change, without writing it.
func (l Live) After(changeObjects []objects.ChangeObject) (*hawthornrail.Snapshot, error) {
	var changed []objects.Object
	revision := l.state.Revision() + 1
	for _, p := range changeObjects {
		changed = append(changed, objects.Object{Kind: p.Kind, Name: p.Name, Version: revision, Deleted: p.Deleted, Value: p.Value})
	}
	after := state.New()
	after.Replace(l.objects, l.state.Revision())
	after.ApplyChanges(changed, revision-1, revision)
	return after.Snapshot()
}

// History returns the stored versions of a deployment, oldest first.
func (l Live) History(deployment string) ([]objects.HistoryEntry, error) {
	o := l.Object(objects.KindHistory, deployment)
	var h objects.History
	if o.Version == 0 {
		return nil, nil
	}
	err := o.Decode(&h)
	return h.Entries, err
}
