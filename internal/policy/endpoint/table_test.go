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

// The choice costs no more than the best of all endpoints, up to the
// difference within which it is random, when few are compared one by one.
func TestChoiceIsTheNaiveOne(t *testing.T) {
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
			c := p.Crowding * service * min(1, float64(loads[i])/slots)
			c += float64(max(0, loads[i]+1-slots)) * service / slots
			return c + float64(prompt-min(prompt, cached[i]))/p.PrefillPerSecond*p.PrefillCost
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

// A leaving endpoint, one that failed and one to avoid are not chosen while
// there is another, however many there are.
func TestChoiceLeavesOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 60).Draw(t, "engines")
		list := engines(n)
		good := rapid.IntRange(0, n-1).Draw(t, "good")
		var avoid []string
		why := make([]int, n)
		for i := range list {
			why[i] = rapid.IntRange(0, 2).Draw(t, "why")
			if i != good && why[i] == 0 {
				list[i] = list[i].WithLeaving(true)
			}
		}
		table := newTable(list)
		for i, e := range list {
			switch {
			case i == good:
			case why[i] == 1:
				table.Done(e.Name(), endpoint.Failed, time.Second, start)
			case why[i] == 2:
				avoid = append(avoid, e.Name())
			}
		}
		table.Cached("p", list[(good+1)%n].Name(), 1000, start)
		if got := assertChoice(t, table, query("p", 1000).Avoiding(avoid), start); got != list[good].Name() {
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
			t.Errorf("got %s, want none while the probe is under way", e.Name())
		}
	})
	t.Run("is back after its probe", func(t *testing.T) {
		table := newFailed()
		table.Done(assertChoice(t, table, query("p", 1), later), endpoint.Served, time.Second, later)
		assertChoice(t, table, query("q", 1), later)
	})
	t.Run("that was silent is back with its next report", func(t *testing.T) {
		table := newTable(engines(1))
		table.Silent("e0", start)
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
	t.Run("program stays with its cache", func(t *testing.T) {
		if got := choose(t, func(*endpoint.Table) {}); got != "e3" {
			t.Errorf("got %s, want e3", got)
		}
	})
	t.Run("late event does not undo a later answer", func(t *testing.T) {
		if got := choose(t, func(x *endpoint.Table) { x.Evicted("p", "e3", start.Add(-time.Second)) }); got != "e3" {
			t.Errorf("got %s, want e3", got)
		}
	})
	t.Run("program leaves an endpoint that leaves", func(t *testing.T) {
		list := engines(8)
		list[3] = list[3].WithLeaving(true)
		if got := choose(t, func(x *endpoint.Table) { x.Set(list) }); got == "e3" {
			t.Error("got the leaving e3")
		}
	})
}

// No VM is kept from the slots that others leave free, and all together do
// not send more than one VM's part over them.
func TestAllowanceUsesFreeSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, vms := rapid.IntRange(1, 40).Draw(t, "engines"), rapid.IntRange(1, 40).Draw(t, "vms")
		table := newTable(engines(n))
		table.SetSharers(vms)
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

// When every endpoint has failed lately, requests that are forwarded try the
// one whose turn comes first, but never one that leaves.
func TestAllFailed(t *testing.T) {
	list := engines(2)
	table := endpoint.NewTable(endpoint.ForwardParams(), "dc1", rand.New(rand.NewPCG(1, 2)))
	table.Set(list)
	table.Done("e0", endpoint.Failed, time.Second, start)
	table.Done("e1", endpoint.Failed, time.Second, start.Add(time.Second))
	if got := assertChoice(t, table, query("p", 1), start); got != "e0" {
		t.Errorf("got %s, want e0", got)
	}
	table.Set([]hawthornrail.Endpoint{list[0].WithLeaving(true)})
	if e, ok := table.Choose(query("p", 1), start); ok {
		t.Errorf("got %s, want none", e.Name())
	}
}

// Guards against requests to an endpoint that has said in an answer that it is
// leaving, while the list of endpoints is behind.
func TestLeavingByItsOwnWord(t *testing.T) {
	assertNeverChosen := func(t *testing.T, table *endpoint.Table, name string) {
		t.Helper()
		for range 50 {
			if got := assertChoice(t, table, query("p", 100), start); got == name {
				t.Fatalf("%s is chosen", name)
			}
		}
	}
	fresh := func() *endpoint.Table {
		table := newTable(engines(3))
		table.Cached("p", "e1", 100, start)
		table.Leaves("e1")
		return table
	}
	t.Run("at once, also where a prompt is cached", func(t *testing.T) { assertNeverChosen(t, fresh(), "e1") })
	t.Run("though the list names it as ready", func(t *testing.T) {
		table := fresh()
		table.Set(engines(3))
		assertNeverChosen(t, table, "e1")
	})
	t.Run("though its entry was gone and is back", func(t *testing.T) {
		table := fresh()
		table.Set(engines(1))
		table.Set(engines(3))
		assertNeverChosen(t, table, "e1")
	})
	t.Run("also where no other is left", func(t *testing.T) {
		table := endpoint.NewTable(endpoint.ForwardParams(), "dc1", rand.New(rand.NewPCG(1, 1)))
		table.Set(engines(1))
		table.Leaves("e0")
		if e, ok := table.Choose(query("p", 100), start); ok {
			t.Errorf("%s is chosen", e.Name())
		}
	})
	t.Run("another life has another name", func(t *testing.T) {
		table := fresh()
		table.Set(append(engines(1), hawthornrail.NewEndpoint("e1@2", hawthornrail.EngineEndpoint, "dc1", "", []string{"m"}).WithSlots(slots)))
		table.Leaves("e0")
		if got := assertChoice(t, table, query("p", 100), start); got != "e1@2" {
			t.Errorf("%s is chosen", got)
		}
	})
	t.Run("told once", func(t *testing.T) {
		if fresh().Leaves("e1") {
			t.Error("it was known already")
		}
	})
}
