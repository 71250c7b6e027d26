package pool_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/pool"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
)

type fixedConfig struct{ snapshot *hawthornrail.Snapshot }

func (c *fixedConfig) Snapshot() *hawthornrail.Snapshot { return c.snapshot }
func (*fixedConfig) Age() time.Duration                 { return 0 }

func (c *fixedConfig) set(endpoints ...hawthornrail.Endpoint) {
	c.snapshot = hawthornrail.NewSnapshot(1, nil, nil, endpoints, nil)
}

func newPool() (*pool.Pool, *fixedConfig) {
	config := &fixedConfig{}
	config.set(engine("e1"), engine("e2"))
	return pool.New(config, clockwork.NewFakeClock(), "dc1", "vm1", endpoint.DefaultParams()), config
}

func engine(name string) hawthornrail.Endpoint {
	return hawthornrail.NewEndpoint(name, hawthornrail.EngineEndpoint, "dc1", "10.0.0.1:1", []string{"m"}).WithSlots(8)
}

func query() hawthornrail.PickQuery {
	return hawthornrail.NewPickQuery(hawthornrail.EngineEndpoint, "m", "p", 100)
}

func assertOnly(t *testing.T, p *pool.Pool, want string) {
	t.Helper()
	for range 20 {
		e, err := p.Pick(query())
		if err != nil || e.Name() != want {
			t.Fatalf("got %s %v, want %s", e.Name(), err, want)
		}
	}
}

func TestPick(t *testing.T) {
	t.Run("draining endpoint is not picked after the next snapshot", func(t *testing.T) {
		p, config := newPool()
		p.Done("e1", query(), nil, hawthornrail.NewUsage(100, 10, 0), time.Second)
		config.set(engine("e1").WithDraining(true), engine("e2"))
		assertOnly(t, p, "e2")
	})
	t.Run("failed endpoint is not picked", func(t *testing.T) {
		p, _ := newPool()
		p.Done("e1", query(), hawthornrail.NotRun(hawthornrail.CodeEndpointFailed, "refused"), hawthornrail.Usage{}, 0)
		assertOnly(t, p, "e2")
	})
	t.Run("unresponsive endpoint is not picked", func(t *testing.T) {
		p, _ := newPool()
		p.MarkUnresponsive(engine("e1"))
		assertOnly(t, p, "e2")
	})
	t.Run("disconnected caller does not count as a failure of the endpoint", func(t *testing.T) {
		p, _ := newPool()
		p.Done("e1", query(), context.Canceled, hawthornrail.Usage{}, 0)
		p.Done("e2", query(), hawthornrail.NotRun(hawthornrail.CodeReplicaUnreachable, "backup"), hawthornrail.Usage{}, 0)
		if _, err := p.Pick(query()); err != nil {
			t.Error(err)
		}
	})
	t.Run("without endpoints the request is refused as not run", func(t *testing.T) {
		p, config := newPool()
		config.set()
		_, err := p.Pick(query())
		if f := hawthornrail.AsFailure(err); f.Code() != hawthornrail.CodeNoEndpoint || f.RetryAfter() <= 0 {
			t.Errorf("got %v, want a refusal with a retry delay", err)
		}
	})
}

func TestCapacity(t *testing.T) {
	assertCapacity := func(t *testing.T, p *pool.Pool, want int) {
		t.Helper()
		if got, _ := p.Capacity(hawthornrail.EngineEndpoint, "m"); got != want {
			t.Errorf("got %d, want %d", got, want)
		}
	}
	t.Run("is the sum of the slots of all endpoints", func(t *testing.T) {
		p, _ := newPool()
		assertCapacity(t, p, 16)
	})
	t.Run("excludes an unresponsive endpoint", func(t *testing.T) {
		p, _ := newPool()
		p.MarkUnresponsive(engine("e1"))
		assertCapacity(t, p, 8)
	})
	t.Run("new programs wait while the caches are full", func(t *testing.T) {
		p, _ := newPool()
		for _, name := range []string{"e1", "e2"} {
			p.Report(engine(name), endpoint.NewReport(0, 8, 1000, 1000))
		}
		if _, fresh := p.Capacity(hawthornrail.EngineEndpoint, "m"); fresh {
			t.Error("new programs may start")
		}
	})
}

// Guards against a refusal without an accurate retry time, and against an endpoint of an
// evacuated data centre that alone may run a request.
func TestEvacuatedEndpoints(t *testing.T) {
	evacuate := func(config *fixedConfig, dataCentres ...string) {
		var list []hawthornrail.Evacuation
		for _, dc := range dataCentres {
			list = append(list, hawthornrail.NewEvacuation(dc, 1))
		}
		before := config.snapshot.Evacuations()
		config.snapshot = config.snapshot.WithEvacuations(before.Next(list, 2, time.Unix(1_000_000, 0)))
	}
	p, config := newPool()
	evacuate(config, "dc1")
	if _, err := p.Pick(query()); hawthornrail.AsFailure(err).Verdict() != hawthornrail.VerdictNotRun || hawthornrail.AsFailure(err).RetryAfter() <= 0 {
		t.Errorf("error %v", err)
	}
	if _, listed, err := p.PickNamed("e1", query()); !listed || hawthornrail.AsFailure(err).RetryAfter() <= 0 {
		t.Errorf("listed %t, error %v", listed, err)
	}
	if got := p.EvacuatedRefusals(); got != 2 {
		t.Errorf("%d refusals are counted, want 2", got)
	}
	evacuate(config)
	if e, listed, err := p.PickNamed("e1", query()); !listed || err != nil || e.Name() != "e1" {
		t.Errorf("%q is picked, listed %t, error %v", e.Name(), listed, err)
	}
	if _, err := p.Pick(query()); err != nil {
		t.Error(err)
	}
}

// Guards against a service whose cold endpoints are not limited, and against a limit for
// services that have none.
func TestColdEndpointIsLimited(t *testing.T) {
	for _, limited := range []bool{false, true} {
		service := hawthornrail.NewService("m", 0)
		if limited {
			service = service.WithColdStart(3*time.Second, 27)
		}
		config := &fixedConfig{}
		config.set(engine("new"))
		config.snapshot = config.snapshot.WithRoutes(nil, []hawthornrail.Service{service})
		p := pool.New(config, clockwork.NewFakeClock(), "dc1", "vm1", endpoint.DefaultParams())
		_, err := p.Pick(query())
		if refused := err != nil; refused != limited {
			t.Errorf("limited %t, error %v", limited, err)
		}
		if got := p.LimitRefusals() > 0; got != limited {
			t.Errorf("limited %t, refusal counted %t", limited, got)
		}
	}
}
