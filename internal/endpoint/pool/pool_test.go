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
