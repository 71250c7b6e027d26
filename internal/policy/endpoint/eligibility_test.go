package endpoint_test

import (
	"math/rand/v2"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
)

// evacuatedTable returns a table with an endpoint in each of two data centres, of which
// the first, the VM's own, is evacuated.
func evacuatedTable(now time.Time) *endpoint.Table {
	t := endpoint.NewTable(endpoint.ForwardParams(), "dc0", rand.New(rand.NewPCG(1, 0)))
	evacuate(t, now)
	t.Cached("p", "e0", 100_000, now)
	evacuate(t, now, "dc0")
	return t
}

func evacuate(t *endpoint.Table, now time.Time, dataCentres ...string) {
	var list []hawthornrail.Evacuation
	for _, dc := range dataCentres {
		list = append(list, hawthornrail.NewEvacuation(dc, 2))
	}
	t.SetConditions(endpoint.NewConditions(hawthornrail.Evacuations{}.Next(list, 2, now), now))
	t.Set([]hawthornrail.Endpoint{
		hawthornrail.NewEndpoint("e0", hawthornrail.EngineEndpoint, "dc0", "10.0.0.1:1", []string{"s"}).WithSlots(8),
		hawthornrail.NewEndpoint("e1", hawthornrail.EngineEndpoint, "dc1", "10.0.0.2:1", []string{"s"}).WithSlots(8),
	})
}

// Guards against a way of choosing an endpoint that does not respect evacuations.
func TestEvacuationAppliesToEveryChoice(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	q := hawthornrail.NewPickQuery(hawthornrail.EngineEndpoint, "s", "p", 100_000)
	t.Run("endpoint with the cached prompt", func(t *testing.T) {
		if e, ok := evacuatedTable(now).Choose(q, now); !ok || e.Name() != "e1" {
			t.Errorf("%q is chosen", e.Name())
		}
	})
	t.Run("early retry of a failed endpoint", func(t *testing.T) {
		table := evacuatedTable(now)
		table.Done("e1", endpoint.Failed, 0, now)
		if e, ok := table.Choose(q, now); !ok || e.Name() != "e1" {
			t.Errorf("%q is chosen", e.Name())
		}
		if e, ok := table.Choose(q.Excluding([]string{"e1"}), now); ok {
			t.Errorf("%q is chosen", e.Name())
		}
	})
	t.Run("endpoint that alone may run the request", func(t *testing.T) {
		table := evacuatedTable(now)
		if _, refusal := table.ChooseNamed("e0", q, now); refusal != endpoint.InEvacuation {
			t.Errorf("refusal %v", refusal)
		}
		if e, refusal := table.ChooseNamed("e1", q, now); refusal != endpoint.NotRefused || e.Name() != "e1" {
			t.Errorf("refusal %v", refusal)
		}
		if _, refusal := table.ChooseNamed("e2", q, now); refusal != endpoint.NotListed {
			t.Errorf("refusal %v", refusal)
		}
	})
	t.Run("all data centres", func(t *testing.T) {
		table := evacuatedTable(now)
		evacuate(table, now, "dc0", "dc1")
		if e, ok := table.Choose(q, now); ok {
			t.Errorf("%q is chosen", e.Name())
		}
		if !table.Evacuated(q) || table.ExhaustedRate(q, now) != 0 {
			t.Error("the refusal is not ascribed to the evacuations")
		}
		evacuate(table, now)
		if e, ok := table.Choose(q, now); !ok || e.Name() != "e0" {
			t.Errorf("%q is chosen after the withdrawal, want the endpoint with the cached prompt", e.Name())
		}
	})
}

// Guards against an entry that is taken for the state of the endpoint at another moment
// than that at which it was written.
func TestColdTime(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	entry := func(revision uint64) hawthornrail.EndpointEntry { return hawthornrail.NewEndpointEntry(revision) }
	withdrawn := hawthornrail.Evacuations{}.Next([]hawthornrail.Evacuation{hawthornrail.NewEvacuation("dc0", 5)}, 5, start).Next(nil, 7, start)
	type state struct {
		after time.Duration
		entry hawthornrail.EndpointEntry
	}
	for _, c := range []struct {
		name        string
		evacuations hawthornrail.Evacuations
		states      []state
		// coldUntil is when the endpoint starts to be warm.
		coldUntil time.Duration
	}{
		{"entry that states nothing", hawthornrail.Evacuations{}, []state{{0, entry(1)}}, coldStart},
		{"entry of an endpoint that has just started", hawthornrail.Evacuations{}, []state{{0, entry(1).WithStarted(start.Add(-9 * time.Second))}}, coldStart},
		{"entry of an endpoint that started long ago", hawthornrail.Evacuations{}, []state{{0, entry(1).WithStarted(start.Add(-time.Minute))}}, 0},
		{"warm entry", hawthornrail.Evacuations{}, []state{{0, entry(1).WithColdLeft(0)}}, 0},
		{"entry of a cold endpoint", hawthornrail.Evacuations{}, []state{{0, entry(1).WithColdLeft(time.Second)}}, time.Second},
		{"same entry again", hawthornrail.Evacuations{}, []state{{0, entry(1).WithColdLeft(time.Second)}, {900 * time.Millisecond, entry(1).WithColdLeft(time.Second)}}, time.Second},
		{"cold again", hawthornrail.Evacuations{}, []state{{0, entry(1).WithColdLeft(0)}, {time.Second, entry(2).WithColdLeft(2 * time.Second)}}, 3 * time.Second},
		{"warm before the time", hawthornrail.Evacuations{}, []state{{0, entry(1)}, {time.Second, entry(2).WithColdLeft(0)}}, time.Second},
		{"warm entry from before the withdrawal", withdrawn, []state{{0, entry(6).WithColdLeft(0)}}, coldStart},
		{"warm entry from after the withdrawal", withdrawn, []state{{0, entry(8).WithColdLeft(0)}}, 0},
		{"warm entry long after the withdrawal", withdrawn, []state{{time.Minute, entry(6).WithColdLeft(0)}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := endpoint.NewTable(endpoint.ForwardParams(), "dc0", rand.New(rand.NewPCG(1, 0)))
			table.SetTimeSlots(endpoint.NewTimeSlots(0, 1000))
			for _, s := range c.states {
				e := hawthornrail.NewEndpoint("e0", hawthornrail.ServiceEndpoint, "dc0", "10.0.0.1:1", []string{"s"}).WithSlots(8).WithEntry(s.entry)
				table.SetConditions(endpoint.NewConditions(c.evacuations, start.Add(s.after)).WithColdStart(coldStart, coldRate))
				table.Set([]hawthornrail.Endpoint{e})
			}
			for at := time.Duration(0); at < c.coldUntil+time.Second; at += 50 * time.Millisecond {
				if at < c.states[len(c.states)-1].after {
					continue
				}
				q := hawthornrail.NewPickQuery(hawthornrail.ServiceEndpoint, "s", "", 0)
				rate := table.ExhaustedRate(q, start.Add(at))
				if cold := rate > 0 && rate < coldRate; cold != (at < c.coldUntil) {
					t.Fatalf("%v a second are exhausted after %v, want the endpoint cold until %v", rate, at, c.coldUntil)
				}
			}
		})
	}
}
