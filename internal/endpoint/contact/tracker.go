package contact

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/policy/reach"
)

// Connector opens a connection to an endpoint and keeps it for the next request.
type Connector interface {
	Connect(ctx context.Context, address string) error
}

// Dependencies are the dependencies of a Tracker.
type Dependencies struct {
	DataCentre string
	Config     hawthornrail.Configuration
	Connector  Connector
	Detour     hawthornrail.Detour
	Clock      hawthornrail.Clock
	Log        events.Logger
	// Loop runs a function in the background until it returns or its context ends.
	Loop func(func(ctx context.Context))
}

// Tracker knows, for each service, whether this VM reaches its endpoints; it
// implements hawthornrail.Contact.
type Tracker struct {
	deps   Dependencies
	others singleflight.Group

	mu       sync.Mutex
	services map[string]*service
}

// New returns a tracker for which all services are reached.
func New(deps Dependencies) *Tracker {
	return &Tracker{deps: deps, services: make(map[string]*service)}
}

func (t *Tracker) service(name string) *service {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		s = newService(t, name)
		t.services[name] = s
	}
	return s
}

// suspectOthers checks the path to the other services that this VM sends to, since one is
// out of reach.
func (t *Tracker) suspectOthers(unreachable *service) {
	t.mu.Lock()
	others := make([]*service, 0, len(t.services))
	for _, s := range t.services {
		if s != unreachable {
			others = append(others, s)
		}
	}
	t.mu.Unlock()
	for _, s := range others {
		s.suspect()
	}
}

// CutOff reports whether a service was found to be out of reach of this VM.
func (t *Tracker) CutOff(name string) bool {
	path := t.service(name).currentPath()
	return path == reach.Indirect || path == reach.None
}

// Reached reports whether an endpoint of a service was heard within a time, or
// accepts a connection now.
func (t *Tracker) Reached(ctx context.Context, name string, within time.Duration) bool {
	if t.CutOff(name) {
		return false
	}
	s := t.service(name)
	return t.deps.Clock.Since(s.lastHeard()) <= within || s.connectForOther(ctx)
}

// ReachesOther reports whether this VM reaches any endpoint but the given one, of its
// service or else of another: those of its own may be down for the same reason. While none
// is listed nothing can be told, and it reports true. Calls at the same time, such as those
// of all requests at an endpoint, share one result.
func (t *Tracker) ReachesOther(ctx context.Context, name, endpoint string) bool {
	snapshot := t.deps.Config.Snapshot()
	all := endpoints(snapshot, "", []string{endpoint})
	if len(all) == 0 {
		return true
	}
	reached, _, _ := t.others.Do(endpoint, func() (any, error) {
		ctx := context.WithoutCancel(ctx)
		own := endpoints(snapshot, name, []string{endpoint})
		others := slices.DeleteFunc(all, func(e hawthornrail.Endpoint) bool { return slices.Contains(e.Serves(), name) })
		return t.connectAny(ctx, own) || t.connectAny(ctx, others), nil
	})
	return reached == true
}

// Lost records that a connection to an endpoint of a service failed.
func (t *Tracker) Lost(name, endpoint string) { t.service(name).recordLoss(endpoint) }

// Route returns how a request for a service is sent now. During a check it waits for
// the result, and one that must run once also while endpoints are lost and none is
// heard: bytes that are sent then may be lost. key identifies the requests that belong
// together, and refused are the names of the VMs that did not take this one.
func (t *Tracker) Route(ctx context.Context, name, key string, once bool, refused []string) (Route, error) {
	return t.service(name).route(ctx, key, once, refused)
}

// Helper returns a VM that reaches endpoints of a service although this one may reach
// some too; ok is false if none does.
func (t *Tracker) Helper(ctx context.Context, name, key string, refused []string) (hawthornrail.VM, bool) {
	return t.service(name).helper(ctx, key, refused)
}

// HelperFailed records that a VM takes no requests for a service.
func (t *Tracker) HelperFailed(name string, vm hawthornrail.VM) { t.service(name).removeHelper(vm) }

// Begin records that a request is about to be sent to an endpoint. abandon is called
// once the service is found to be out of reach, if the request may run again or was not
// sent yet.
func (t *Tracker) Begin(name, endpoint string, repeatable bool, abandon func()) *Attempt {
	s := t.service(name)
	a := &Attempt{service: s, endpoint: endpoint, repeatable: repeatable, abandon: abandon, begunAt: t.deps.Clock.Now()}
	s.add(a)
	return a
}
