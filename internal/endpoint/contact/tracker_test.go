package contact_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/contact"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

const (
	serviceName = "desk"
	// noticed is a time within which a loss is noticed and checked.
	noticed = 600 * time.Millisecond
)

var errUnreachable = errors.New("unreachable")

// network is what a tracker can reach; it counts what that costs.
type network struct {
	reachable atomic.Bool
	helpers   atomic.Int64
	denials   atomic.Int64
	connects  atomic.Int64
	searches  atomic.Int64
}

func (n *network) Connect(context.Context, string) error {
	n.connects.Add(1)
	if !n.reachable.Load() {
		return errUnreachable
	}
	return nil
}

func (n *network) Find(context.Context, string, time.Duration) ([]hawthornrail.VM, int) {
	n.searches.Add(1)
	var vms []hawthornrail.VM
	for h := range n.helpers.Load() {
		vms = append(vms, hawthornrail.NewVM(fmt.Sprintf("h%d", h), "dc1", "", false))
	}
	return vms, int(n.denials.Load())
}

func (n *network) Open(context.Context, hawthornrail.VM, string, *hawthornrail.ForwardRequest, *hawthornrail.ForwardProgress) (hawthornrail.DetourResponse, error) {
	return nil, errUnreachable
}

type fixedConfig struct{ snapshot *hawthornrail.Snapshot }

func (c fixedConfig) Snapshot() *hawthornrail.Snapshot { return c.snapshot }
func (fixedConfig) Age() time.Duration                 { return 0 }

func newTracker(t *testing.T) (*contact.Tracker, *network) {
	t.Helper()
	var endpoints []hawthornrail.Endpoint
	for n := range 5 {
		name := fmt.Sprintf("e%d", n)
		endpoints = append(endpoints, hawthornrail.NewEndpoint(name, hawthornrail.ServiceEndpoint, "dc1", name, []string{serviceName}))
	}
	n := &network{}
	tracker := contact.New(contact.Dependencies{
		DataCentre: "dc1", Config: fixedConfig{hawthornrail.NewSnapshot(1, nil, nil, endpoints, nil)},
		Connector: n, Detour: n, Clock: clock.Real(), Log: events.NewLogger(io.Discard, zerolog.InfoLevel),
		Loop: func(f func(ctx context.Context)) { go f(t.Context()) },
	})
	return tracker, n
}

// conn is a connection whose bytes are acknowledged or not.
type conn struct {
	net.Conn
	unacknowledged int
}

func (c conn) Unacknowledged() (int, error) { return c.unacknowledged, nil }

func assertRoute(t *testing.T, tracker *contact.Tracker, once, indirect bool) {
	t.Helper()
	route, err := tracker.Route(t.Context(), serviceName, "key", once, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := route.Helper(); ok != indirect {
		t.Errorf("indirect %v, want %v", ok, indirect)
	}
}

// Guards against a calm day on which the tracking of contact costs connections or
// messages because one endpoint is silent for a second.
func TestCalmDayCostsNothing(t *testing.T) {
	tracker, n := newTracker(t)
	silent := tracker.Begin(serviceName, "e0", true, func() { t.Error("abandoned") })
	silent.Sent(conn{unacknowledged: 100})
	for range 60 {
		a := tracker.Begin(serviceName, "e1", true, func() { t.Error("abandoned") })
		a.Sent(conn{})
		time.Sleep(20 * time.Millisecond)
		a.Heard()
		a.End()
		assertRoute(t, tracker, true, false)
	}
	silent.End()
	if n.connects.Load() != 0 || n.searches.Load() != 0 {
		t.Errorf("%d connections, %d searches for other VMs", n.connects.Load(), n.searches.Load())
	}
}

// Guards against requests that wait at endpoints out of reach until their deadline.
func TestRequestsAreAbandoned(t *testing.T) {
	begin := func(t *testing.T, repeatable, sent bool) (*network, *atomic.Bool) {
		t.Helper()
		tracker, n := newTracker(t)
		n.helpers.Store(2)
		abandoned := &atomic.Bool{}
		a := tracker.Begin(serviceName, "e0", repeatable, func() { abandoned.Store(true) })
		if sent {
			a.Sent(conn{unacknowledged: 100})
		}
		time.Sleep(noticed)
		return n, abandoned
	}
	t.Run("one that may run again", func(t *testing.T) {
		if _, abandoned := begin(t, true, true); !abandoned.Load() {
			t.Error("not abandoned")
		}
	})
	t.Run("one that waits for its connection", func(t *testing.T) {
		if _, abandoned := begin(t, false, false); !abandoned.Load() {
			t.Error("not abandoned")
		}
	})
	t.Run("not one that must run once and may have arrived", func(t *testing.T) {
		n, abandoned := begin(t, false, true)
		if abandoned.Load() {
			t.Error("abandoned")
		}
		if n.searches.Load() == 0 {
			t.Error("the loss was not noticed")
		}
	})
}

// Guards against a request that must run once and is sent while it is in doubt whether
// any endpoint is reached: it could be lost on the way.
func TestRequestThatMustRunOnceWaitsForCheck(t *testing.T) {
	t.Run("endpoints out of reach", func(t *testing.T) {
		tracker, n := newTracker(t)
		n.helpers.Store(1)
		tracker.Lost(serviceName, "e0")
		assertRoute(t, tracker, false, false)
		assertRoute(t, tracker, true, true)
	})
	t.Run("endpoints in reach", func(t *testing.T) {
		tracker, n := newTracker(t)
		n.reachable.Store(true)
		tracker.Lost(serviceName, "e0")
		assertRoute(t, tracker, true, false)
		if n.searches.Load() != 0 {
			t.Error("other VMs were asked")
		}
	})
}

// Guards against a service that is noticed to be out of reach long after another one.
func TestOtherServicesAreChecked(t *testing.T) {
	tracker, n := newTracker(t)
	n.helpers.Store(1)
	const other = "engine"
	_, _ = tracker.Route(t.Context(), other, "key", false, nil)
	tracker.Lost(serviceName, "e0")
	tracker.Lost(serviceName, "e1")
	for end := time.Now().Add(noticed); time.Now().Before(end) && !tracker.CutOff(other); time.Sleep(time.Millisecond) {
	}
	if !tracker.CutOff(other) {
		t.Error("the other service counts as reached")
	}
}

// Guards against endpoints of a dead service that get connections for each VM that
// asks.
func TestAsksOfOthersShareConnections(t *testing.T) {
	tracker, n := newTracker(t)
	for range 100 {
		if tracker.Reached(t.Context(), serviceName, 0) {
			t.Error("reached")
		}
	}
	if n.connects.Load() > 3 {
		t.Errorf("%d connections for 100 asks", n.connects.Load())
	}
}

// Guards against a storm of requests between VMs that all reach no endpoint.
func TestSearchesAreBounded(t *testing.T) {
	tracker, n := newTracker(t)
	n.denials.Store(3)
	tracker.Lost(serviceName, "e0")
	tracker.Lost(serviceName, "e1")
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		_, err := tracker.Route(t.Context(), serviceName, "key", false, nil)
		if hawthornrail.VerdictOf(err) != hawthornrail.VerdictNotRun {
			t.Fatalf("error %v", err)
		}
	}
	if n.searches.Load() > 8 || n.connects.Load() > 16 {
		t.Errorf("%d searches and %d connections in 2 s", n.searches.Load(), n.connects.Load())
	}
}

// oneReached is a network on which a single endpoint accepts connections.
type oneReached struct {
	*network
	address string
}

func (n oneReached) Connect(_ context.Context, address string) error {
	if address != n.address {
		return errUnreachable
	}
	return nil
}

// Guards against review case 5: while all endpoints of a service are down, those of other
// services are not asked whether this VM's link is sound.
func TestOtherServiceShowsThatTheLinkIsSound(t *testing.T) {
	endpoint := func(name, service string) hawthornrail.Endpoint {
		return hawthornrail.NewEndpoint(name, hawthornrail.ServiceEndpoint, "dc1", name, []string{service})
	}
	endpoints := []hawthornrail.Endpoint{endpoint("e0", serviceName), endpoint("e1", serviceName), endpoint("e2", serviceName), endpoint("o0", "other")}
	for _, c := range []struct {
		reached string
		want    bool
	}{{"o0", true}, {"e1", true}, {"e0", false}, {"", false}} {
		t.Run("reaches "+c.reached, func(t *testing.T) {
			n := oneReached{&network{}, c.reached}
			tracker := contact.New(contact.Dependencies{
				DataCentre: "dc1", Config: fixedConfig{hawthornrail.NewSnapshot(1, nil, nil, endpoints, nil)},
				Connector: n, Detour: n, Clock: clock.Real(), Log: events.NewLogger(io.Discard, zerolog.InfoLevel),
			})
			if got := tracker.ReachesOther(t.Context(), serviceName, "e0"); got != c.want {
				t.Errorf("another endpoint is reached: %t, want %t", got, c.want)
			}
		})
	}
}

// crashedNetwork is a network on which all endpoints but one refuse connections, and those that
// hang do not respond.
type crashedNetwork struct {
	*network
	accepts string
	hang    map[string]bool
}

func (n crashedNetwork) Connect(ctx context.Context, address string) error {
	n.connects.Add(1)
	switch {
	case address == n.accepts:
		return nil
	case n.hang[address]:
		<-ctx.Done()
		return ctx.Err()
	default:
		return fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
}

// Guards against requests of others that are refused because a request has crashed the few
// endpoints that a check connects to, while another one serves.
func TestServiceIsInReachWhileOneEndpointAccepts(t *testing.T) {
	const count = 12
	var endpoints []hawthornrail.Endpoint
	hang := make(map[string]bool)
	for i := range count {
		name := fmt.Sprintf("e%d", i)
		hang[name] = i > 0
		endpoints = append(endpoints, hawthornrail.NewEndpoint(name, hawthornrail.ServiceEndpoint, "dc1", name, []string{serviceName}))
	}
	for _, c := range []struct {
		name    string
		accepts string
		hang    map[string]bool
		want    bool
		most    int64
	}{
		{"all but one have crashed", "e0", nil, true, count},
		{"all have crashed", "", nil, false, count},
		{"all are out of reach", "", hang, false, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := crashedNetwork{&network{}, c.accepts, c.hang}
			tracker := contact.New(contact.Dependencies{
				DataCentre: "dc1", Config: fixedConfig{hawthornrail.NewSnapshot(1, nil, nil, endpoints, nil)},
				Connector: n, Detour: n, Clock: clock.Real(), Log: events.NewLogger(io.Discard, zerolog.InfoLevel),
			})
			if got := tracker.Reached(t.Context(), serviceName, 0); got != c.want {
				t.Errorf("reached: %t, want %t", got, c.want)
			}
			if got := n.connects.Load(); got > c.most {
				t.Errorf("%d connections, want at most %d", got, c.most)
			}
		})
	}
}
