package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
)

const (
	limitedName = "limited"
	// sumWindow is the window over which a rate limit is checked.
	sumWindow = 4 * time.Second
	step      = 10 * time.Millisecond
)

// allowedInWindow is how many requests an endpoint with a rate limit may get in a
// window.
func allowedInWindow(perSecond float64) int { return int(1.5*perSecond*sumWindow.Seconds()) + 5 }

// limitedFleet is a fleet of VMs that all send to one endpoint with a rate limit.
type limitedFleet struct {
	random    *rand.Rand
	tables    []*endpoint.Table
	perSecond float64
	now       time.Time
	sent      []time.Time
}

func newLimitedFleet(seed uint64, vms int, perSecond float64) *limitedFleet {
	f := &limitedFleet{random: rand.New(rand.NewPCG(seed, 0)), perSecond: perSecond, now: time.Unix(1_700_000_000, 123_456_789)}
	for range vms {
		f.tables = append(f.tables, endpoint.NewTable(endpoint.ForwardParams(), "dc1", f.random))
	}
	for i := range f.tables {
		f.restart(i)
	}
	return f
}

// restart lets a VM start anew, with the limit known.
func (f *limitedFleet) restart(vm int) {
	t := endpoint.NewTable(endpoint.ForwardParams(), "dc1", f.random)
	t.SetTimeSlots(endpoint.NewTimeSlots(vm, len(f.tables)))
	f.tables[vm] = t
	f.list(vm)
	t.SetRateLimit(limitedName, f.perSecond, f.now)
}

// list lists the endpoint at a VM.
func (f *limitedFleet) list(vm int) {
	f.tables[vm].Set([]hawthornrail.Endpoint{hawthornrail.NewEndpoint(limitedName, hawthornrail.EngineEndpoint, "dc1", "10.0.0.1:1", []string{"m"}).WithSlots(8)})
}

// offer lets a VM choose an endpoint for a request.
func (f *limitedFleet) offer(vm int) {
	q := hawthornrail.NewPickQuery(hawthornrail.EngineEndpoint, "m", "", 100)
	if _, ok := f.tables[vm].Choose(q, f.now); !ok {
		return
	}
	f.sent = append(f.sent, f.now)
	f.tables[vm].Done(limitedName, endpoint.Served, time.Millisecond, f.now)
	f.tables[vm].SetRateLimit(limitedName, f.perSecond, f.now)
}

// run offers requests at every step for a period, each by a VM that next returns.
func (f *limitedFleet) run(period time.Duration, next func() []int) {
	for end := f.now.Add(period); f.now.Before(end); f.now = f.now.Add(step) {
		for _, vm := range next() {
			f.offer(vm)
		}
	}
}

// mostInWindow returns the largest number of requests in any window.
func (f *limitedFleet) mostInWindow() int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) > sumWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// firstTimeSlot returns after which time a VM that sends nothing else may send.
func (f *limitedFleet) firstTimeSlot(vm int) time.Duration {
	q := hawthornrail.NewPickQuery(hawthornrail.EngineEndpoint, "m", "", 100)
	for at := f.now; ; at = at.Add(step) {
		if _, ok := f.tables[vm].Choose(q, at); ok {
			return at.Sub(f.now)
		}
	}
}

func (f *limitedFleet) all() []int {
	vms := make([]int, len(f.tables))
	for i := range vms {
		vms[i] = i
	}
	return vms
}

func (f *limitedFleet) assertKept(t *testing.T) {
	t.Helper()
	if most, allowed := f.mostInWindow(), allowedInWindow(f.perSecond); most > allowed {
		t.Errorf("%d requests in %v, want %d at most", most, sumWindow, allowed)
	}
}

// Guards against LIMIT: VMs that each keep to an endpoint's rate limit send more
// than that together, at any size of the fleet, or far less than it accepts.
func TestFleetKeepsRateLimit(t *testing.T) {
	for _, vms := range []int{1, 3, 9, 95, 300} {
		for _, perSecond := range []float64{0.1, 0.7, 2.8, 6.2, 50} {
			t.Run(fmt.Sprintf("%d VMs, %v a second", vms, perSecond), func(t *testing.T) {
				f := newLimitedFleet(1, vms, perSecond)
				f.run(60*time.Second, f.all)
				f.assertKept(t)
				if least := int(perSecond * 60 * 0.8); len(f.sent) < least {
					t.Errorf("%d requests in 60 s, want at least %d", len(f.sent), least)
				}
			})
		}
	}
}

// Guards against LIMIT: time slots that VMs have not used add up, and a burst at all VMs
// uses them at once.
func TestUnusedTimeSlotsExpire(t *testing.T) {
	for _, vms := range []int{9, 95} {
		for seed := range uint64(20) {
			f := newLimitedFleet(seed, vms, 2.8)
			for range 5 {
				f.run(time.Duration(f.random.Int64N(int64(40*time.Second))), func() []int { return nil })
				f.run(5*time.Second, f.all)
			}
			f.assertKept(t)
		}
	}
}

// Guards against LIMIT: VMs that start anew send beside the time slots of others.
func TestRateLimitWithRestarts(t *testing.T) {
	for seed := range uint64(20) {
		f := newLimitedFleet(seed, 9, 4)
		f.run(60*time.Second, func() []int {
			if f.random.IntN(100) == 0 {
				f.restart(f.random.IntN(len(f.tables)))
			}
			return f.all()[:1+f.random.IntN(len(f.tables))]
		})
		f.assertKept(t)
	}
}

// Guards against LIMIT: the entry of an endpoint lapses and comes back while the store
// loses writes, and VMs that had been told of its limit have forgotten it.
func TestRateLimitOutlivesEntry(t *testing.T) {
	for _, vms := range []int{9, 62} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			f := newLimitedFleet(1, vms, 2.2)
			for range 5 {
				f.run(3*time.Second, f.all)
				for vm := range f.tables {
					f.tables[vm].Set(nil)
				}
				f.run(time.Second, f.all)
				for vm := range f.tables {
					f.list(vm)
				}
			}
			f.assertKept(t)
		})
	}
	t.Run("told while it is not listed", func(t *testing.T) {
		f := newLimitedFleet(1, 2, 1)
		f.tables[0].Set(nil)
		f.tables[0].SetRateLimit(limitedName, 0, f.now)
		f.list(0)
		if changed := f.tables[0].SetRateLimit(limitedName, 0, f.now); changed {
			t.Error("the limit has not ended")
		}
		f.tables[0].Set(nil)
		f.tables[0].SetRateLimit(limitedName, 1, f.now)
		f.list(0)
		if changed := f.tables[0].SetRateLimit(limitedName, 0, f.now); !changed {
			t.Error("the limit has not begun")
		}
	})
}

func TestRateLimit(t *testing.T) {
	query := func(excluded ...string) hawthornrail.PickQuery {
		return hawthornrail.NewPickQuery(hawthornrail.EngineEndpoint, "m", "", 100).Excluding(excluded)
	}
	t.Run("other endpoints are chosen", func(t *testing.T) {
		f := newLimitedFleet(1, 3, 1)
		f.tables[0].Set([]hawthornrail.Endpoint{
			hawthornrail.NewEndpoint(limitedName, hawthornrail.EngineEndpoint, "dc1", "10.0.0.1:1", []string{"m"}).WithSlots(8),
			hawthornrail.NewEndpoint("other", hawthornrail.EngineEndpoint, "dc1", "10.0.0.2:1", []string{"m"}).WithSlots(8),
		})
		chosen := make(map[string]int)
		for range 20 {
			e, _ := f.tables[0].Choose(query(), f.now)
			chosen[e.Name()]++
		}
		if chosen["other"] < 19 {
			t.Errorf("chosen: %v, want at most one request at the endpoint with the limit", chosen)
		}
	})
	t.Run("the rate of exhausted endpoints is known", func(t *testing.T) {
		f := newLimitedFleet(1, 3, 1.5)
		if rate := f.tables[0].ExhaustedRate(query(), f.now); rate != 1.5 {
			t.Errorf("%v a second, want 1.5", rate)
		}
		if rate := f.tables[0].ExhaustedRate(query(limitedName), f.now); rate != 0 {
			t.Errorf("%v a second of an excluded endpoint, want 0", rate)
		}
	})
	t.Run("a request to the same endpoint uses the next time slot in advance", func(t *testing.T) {
		f := newLimitedFleet(1, 1, 1)
		first := f.firstTimeSlot(0)
		f.restart(0)
		f.tables[0].ChooseNamed(limitedName, query(), f.now)
		if delay := f.firstTimeSlot(0) - first; delay != time.Second {
			t.Errorf("the time slot moves by %v, want 1s", delay)
		}
	})
	t.Run("the limit ends", func(t *testing.T) {
		f := newLimitedFleet(1, 3, 1)
		if !f.tables[0].SetRateLimit(limitedName, 0, f.now) {
			t.Error("the end is not reported")
		}
		if _, ok := f.tables[0].Choose(query(), f.now); !ok {
			t.Error("the endpoint is not chosen")
		}
	})
	t.Run("extreme rates", func(t *testing.T) {
		for _, perSecond := range []float64{1e-3, 1e12} {
			f := newLimitedFleet(1, 300, perSecond)
			if rate := f.tables[299].ExhaustedRate(query(), f.now); rate != perSecond {
				t.Errorf("%v a second, want %v", rate, perSecond)
			}
		}
	})
}

// Guards against two VMs with the same time slots.
func TestTimeSlotsAreDistinct(t *testing.T) {
	f := newLimitedFleet(1, 5, 1)
	var slots []time.Duration
	for vm := range f.tables {
		slots = append(slots, f.firstTimeSlot(vm))
	}
	slices.Sort(slots)
	for i := range slots[1:] {
		if gap := slots[i+1] - slots[i]; gap != time.Second {
			t.Errorf("a gap of %v between the first time slots of two VMs, want 1s", gap)
		}
	}
}

// Guards against an endpoint with a rate limit that is taken to be as loaded as
// the others, although nobody may send it more, and is not used at all.
func TestLimitedEndpointIsNotOverestimated(t *testing.T) {
	f := newLimitedFleet(1, 1, 1)
	table := f.tables[0]
	var endpoints []hawthornrail.Endpoint
	for _, name := range []string{limitedName, "busy1", "busy2"} {
		endpoints = append(endpoints, hawthornrail.NewEndpoint(name, hawthornrail.EngineEndpoint, "dc1", "10.0.0.1:1", []string{"m"}).WithSlots(8))
	}
	table.Set(endpoints)
	q := hawthornrail.NewPickQuery(hawthornrail.EngineEndpoint, "m", "", 100)
	f.now = f.now.Add(10 * time.Second)
	for _, name := range []string{"busy1", "busy2"} {
		table.Report(name, endpoint.NewReport(20, 8, 0, 100_000), f.now)
	}
	if e, _ := table.Choose(q, f.now); e.Name() != limitedName {
		t.Errorf("%s is chosen, want the endpoint with a free time slot", e.Name())
	}
}
