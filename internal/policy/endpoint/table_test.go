package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

const slots = 8

func engines(n int) []hawthornrail.Endpoint {
	var list []hawthornrail.Endpoint
	for i := range n {
		e := hawthornrail.NewEndpoint(fmt.Sprintf("e%d", i), hawthornrail.EngineEndpoint, "dc1", "", []string{"m"})
		list = append(list, e.WithSlots(slots))
	}
	return list
}

func newTable(list []hawthornrail.Endpoint) *endpoint.Table {
	t := endpoint.NewTable(endpoint.DefaultParams(), "dc1", rand.New(rand.NewPCG(1, 1)))
	t.Set(list)
	return t
}

func query(program string, prompt int) hawthornrail.PickQuery {
	return hawthornrail.NewPickQuery(hawthornrail.EngineEndpoint, "m", program, prompt)
}

func assertChoice(t rapid.TB, table *endpoint.Table, q hawthornrail.PickQuery, now time.Time) string {
	t.Helper()
	e, ok := table.Choose(q, now)
	if !ok {
		t.Fatal("no endpoint is chosen")
	}
	return e.Name()
}

// Guards against choosing an endpoint whose cost exceeds the lowest of all by
// more than NearEqual.
func TestChoiceCostNearMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, n := endpoint.DefaultParams(), rapid.IntRange(1, 12).Draw(t, "engines")
		table := newTable(engines(n))
		loads, cached, prompt := make([]int, n), make([]int, n), rapid.IntRange(1, 100_000).Draw(t, "prompt")
		for i := range n {
			loads[i] = rapid.IntRange(0, 2*slots).Draw(t, "load")
			table.Report(fmt.Sprintf("e%d", i), endpoint.NewReport(0, loads[i], 0, 0), start)
		}
		holder := rapid.IntRange(0, n-1).Draw(t, "holder")
		cached[holder] = rapid.IntRange(0, 100_000).Draw(t, "cached")
		table.Cached("p", fmt.Sprintf("e%d", holder), cached[holder], start)
		cost := func(i int) float64 {
			const service = 5.0
			c := p.BatchCost * service * min(1, float64(loads[i])/slots)
			c += float64(max(0, loads[i]+1-slots)) * service / slots
			return c + float64(prompt-min(prompt, cached[i]))/p.PrefillPerSecond*p.PrefillFactor
		}
		best := cost(0)
		for i := range n {
			best = min(best, cost(i))
		}
		var chosen int
		_, _ = fmt.Sscanf(assertChoice(t, table, query("p", prompt), start), "e%d", &chosen)
		if got := cost(chosen); got > best+p.NearEqual.Seconds()+1e-9 {
			t.Fatalf("chose e%d at %.3f s, the best costs %.3f s", chosen, got, best)
		}
	})
}

// Guards against choosing an endpoint that is draining, has failed or is to be
// avoided while another one is available.
func TestChoiceSkipsUnavailableEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 60).Draw(t, "engines")
		list := engines(n)
		good := rapid.IntRange(0, n-1).Draw(t, "good")
		var avoid []string
		exclusion := make([]int, n)
		for i := range list {
			exclusion[i] = rapid.IntRange(0, 2).Draw(t, "why")
			if i != good && exclusion[i] == 0 {
				list[i] = list[i].WithDraining(true)
			}
		}
		table := newTable(list)
		for i, e := range list {
			switch {
			case i == good:
			case exclusion[i] == 1:
				table.Done(e.Name(), endpoint.Failed, time.Second, start)
			case exclusion[i] == 2:
				avoid = append(avoid, e.Name())
			}
		}
		table.Cached("p", list[(good+1)%n].Name(), 1000, start)
		if got := assertChoice(t, table, query("p", 1000).Excluding(avoid), start); got != list[good].Name() {
			t.Fatalf("got %s, want %s", got, list[good].Name())
		}
	})
}

func TestFailedEndpoint(t *testing.T) {
	newFailed := func() *endpoint.Table {
		table := newTable(engines(1))
		table.Done("e0", endpoint.Failed, time.Second, start)
		return table
	}
	later := start.Add(time.Minute)
	t.Run("is probed by one request", func(t *testing.T) {
		table := newFailed()
		assertChoice(t, table, query("p", 1), later)
		if e, ok := table.Choose(query("q", 1), later); ok {
			t.Errorf("got %s, want none while the probe is in flight", e.Name())
		}
	})
	t.Run("is available after its probe", func(t *testing.T) {
		table := newFailed()
		table.Done(assertChoice(t, table, query("p", 1), later), endpoint.Served, time.Second, later)
		assertChoice(t, table, query("q", 1), later)
	})
	t.Run("that was unresponsive is available after its next report", func(t *testing.T) {
		table := newTable(engines(1))
		table.MarkUnresponsive("e0", start)
		table.Report("e0", endpoint.NewReport(0, 0, 0, 0), start)
		assertChoice(t, table, query("p", 1), start)
	})
}

func TestHints(t *testing.T) {
	choose := func(t *testing.T, change func(*endpoint.Table)) string {
		table := newTable(engines(8))
		table.Cached("p", "e3", 50_000, start)
		change(table)
		return assertChoice(t, table, query("p", 50_000), start.Add(time.Minute))
	}
	t.Run("program stays at the endpoint with its cache", func(t *testing.T) {
		if got := choose(t, func(*endpoint.Table) {}); got != "e3" {
			t.Errorf("got %s, want e3", got)
		}
	})
	t.Run("delayed eviction does not undo a later response", func(t *testing.T) {
		if got := choose(t, func(x *endpoint.Table) { x.Evicted("p", "e3", start.Add(-time.Second)) }); got != "e3" {
			t.Errorf("got %s, want e3", got)
		}
	})
	t.Run("program moves from a draining endpoint", func(t *testing.T) {
		list := engines(8)
		list[3] = list[3].WithDraining(true)
		if got := choose(t, func(x *endpoint.Table) { x.Set(list) }); got == "e3" {
			t.Error("got the draining e3")
		}
	})
}

// Guards against an allowance below a VM's share of the slots or of the free
// slots, and against one above both.
func TestAllowanceUsesFreeSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, vms := rapid.IntRange(1, 40).Draw(t, "engines"), rapid.IntRange(1, 40).Draw(t, "vms")
		table := newTable(engines(n))
		table.SetSenders(vms)
		running := rapid.IntRange(0, slots).Draw(t, "running")
		for i := range n {
			table.Report(fmt.Sprintf("e%d", i), endpoint.NewReport(0, running, 0, 0), start)
		}
		got := table.Allowance().Requests()
		free := n * (slots - running) / vms
		if share := (n*slots + vms - 1) / vms; got < share || got < free || got > max(share, free) {
			t.Fatalf("got %d, want a share of %d or %d free", got, share, free)
		}
	})
}

// Guards against refusing forwarded requests when every endpoint has failed: the
// one with the earliest retry time is chosen, but never a draining one.
func TestAllEndpointsFailed(t *testing.T) {
	list := engines(2)
	table := endpoint.NewTable(endpoint.ForwardParams(), "dc1", rand.New(rand.NewPCG(1, 2)))
	table.Set(list)
	table.Done("e0", endpoint.Failed, time.Second, start)
	table.Done("e1", endpoint.Failed, time.Second, start.Add(time.Second))
	if got := assertChoice(t, table, query("p", 1), start); got != "e0" {
		t.Errorf("got %s, want e0", got)
	}
	table.Set([]hawthornrail.Endpoint{list[0].WithDraining(true)})
	if e, ok := table.Choose(query("p", 1), start); ok {
		t.Errorf("got %s, want none", e.Name())
	}
}

// Guards against requests to an endpoint that has reported in a response that it
// is draining, while the list of endpoints is outdated.
func TestDrainingReportedByEndpoint(t *testing.T) {
	assertNeverChosen := func(t *testing.T, table *endpoint.Table, name string) {
		t.Helper()
		for range 50 {
			if got := assertChoice(t, table, query("p", 100), start); got == name {
				t.Fatalf("%s is chosen", name)
			}
		}
	}
	newDraining := func() *endpoint.Table {
		table := newTable(engines(3))
		table.Cached("p", "e1", 100, start)
		table.MarkDraining("e1")
		return table
	}
	t.Run("endpoint with a cached prompt", func(t *testing.T) { assertNeverChosen(t, newDraining(), "e1") })
	t.Run("endpoint that is still listed as ready", func(t *testing.T) {
		table := newDraining()
		table.Set(engines(3))
		assertNeverChosen(t, table, "e1")
	})
	t.Run("endpoint that was removed from the list and added again", func(t *testing.T) {
		table := newDraining()
		table.Set(engines(1))
		table.Set(engines(3))
		assertNeverChosen(t, table, "e1")
	})
	t.Run("only endpoint", func(t *testing.T) {
		table := endpoint.NewTable(endpoint.ForwardParams(), "dc1", rand.New(rand.NewPCG(1, 1)))
		table.Set(engines(1))
		table.MarkDraining("e0")
		if e, ok := table.Choose(query("p", 100), start); ok {
			t.Errorf("%s is chosen", e.Name())
		}
	})
	t.Run("restarted endpoint with a new name is chosen", func(t *testing.T) {
		table := newDraining()
		table.Set(append(engines(1), hawthornrail.NewEndpoint("e1@2", hawthornrail.EngineEndpoint, "dc1", "", []string{"m"}).WithSlots(slots)))
		table.MarkDraining("e0")
		if got := assertChoice(t, table, query("p", 100), start); got != "e1@2" {
			t.Errorf("%s is chosen", got)
		}
	})
	t.Run("second report is not the first", func(t *testing.T) {
		if newDraining().MarkDraining("e1") {
			t.Error("e1 was already recorded as draining")
		}
	})
}

// Covers one of many VMs that sends a service a request now and then. Guards
// against a connection to each of the service's endpoints, where those to a few
// are enough, and against kept connections that keep requests at a busy endpoint.
func TestKeptConnectionsArePreferred(t *testing.T) {
	const endpoints, requests, took = 50, 200, 50 * time.Millisecond
	var list []hawthornrail.Endpoint
	for i := range endpoints {
		e := hawthornrail.NewEndpoint(fmt.Sprintf("e%d", i), hawthornrail.ServiceEndpoint, "dc1", "", []string{"m"})
		list = append(list, e.WithSlots(slots))
	}
	table := endpoint.NewTable(endpoint.ForwardParams(), "dc1", rand.New(rand.NewPCG(1, 1)))
	table.Set(list)
	q := hawthornrail.NewPickQuery(hawthornrail.ServiceEndpoint, "m", "", 0)
	used := make(map[string]int)
	now := start
	for range requests {
		name := assertChoice(t, table, q, now)
		used[name]++
		now = now.Add(took)
		table.Done(name, endpoint.Served, took, now)
	}
	t.Run("few endpoints are used", func(t *testing.T) {
		if len(used) > endpoints/5 {
			t.Errorf("%d of %d endpoints were used for one request at a time", len(used), endpoints)
		}
	})
	t.Run("a busy endpoint is left", func(t *testing.T) {
		for _, e := range list {
			load := 0
			if used[e.Name()] > 0 {
				load = slots
			}
			table.Report(e.Name(), endpoint.NewReport(load, load, 0, 0), now)
		}
		if name := assertChoice(t, table, q, now); used[name] > 0 {
			t.Errorf("busy endpoint %s is chosen for its connection", name)
		}
	})
}
