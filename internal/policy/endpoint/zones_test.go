package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
)

const (
	dataCentres = 8
	perZone     = 3
	zoneSlots   = 8
	// slowService and fastService are the times of a request: at 80% load an endpoint
	// gets fewer requests than a cold one accepts, or far more.
	slowService = 400 * time.Millisecond
	fastService = 100 * time.Millisecond
	coldStart   = 3 * time.Second
	coldRate    = 27.0
	// allowedCold is the bound of what a cold endpoint may receive in any second.
	allowedCold = coldRate*1.5 + 5
	// evacuationBound is how long an evacuation may take until it is in force.
	evacuationBound = 5 * time.Second
	// timeSlotLifetime is how long a time slot may be used.
	timeSlotLifetime = time.Second
	// maxClockOffset is by how much the clocks of VMs differ from the true time.
	maxClockOffset = 100 * time.Millisecond
)

var fleetSizes = []int{9, 70, 340}

// zoneFleet is a fleet of VMs before the endpoints of several data centres, without a
// network.
type zoneFleet struct {
	random    *rand.Rand
	service   time.Duration
	now       time.Time
	vms       []*zoneVM
	endpoints []*zoneEndpoint
	byName    map[string]*zoneEndpoint
	refused   int
	sent      int
}

// zoneVM is one VM with what it has heard.
type zoneVM struct {
	table       *endpoint.Table
	offset      time.Duration
	evacuations hawthornrail.Evacuations
	endpoints   []hawthornrail.Endpoint
}

// zoneEndpoint is an endpoint that serves zoneSlots requests at a time.
type zoneEndpoint struct {
	name, dataCentre string
	coldFrom, warmAt time.Time
	got              []time.Time
	running          []zoneRun
	waiting          []zoneRun
}

type zoneRun struct {
	vm  *zoneVM
	end time.Time
}

func newZoneFleet(seed uint64, service time.Duration, vms, dataCentres, perZone int) *zoneFleet {
	f := &zoneFleet{service: service, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_700_000_000, 0), byName: make(map[string]*zoneEndpoint)}
	var list []hawthornrail.Endpoint
	for n := range dataCentres * perZone {
		e := &zoneEndpoint{name: fmt.Sprintf("e%d", n), dataCentre: fmt.Sprintf("dc%d", n%dataCentres)}
		f.endpoints, f.byName[e.name] = append(f.endpoints, e), e
		list = append(list, e.entry(1, 0, true))
	}
	for n := range vms {
		v := &zoneVM{offset: f.lag(2*maxClockOffset) - maxClockOffset, endpoints: list}
		v.table = endpoint.NewTable(endpoint.ForwardParams(), fmt.Sprintf("dc%d", n%dataCentres), f.random)
		v.table.SetSenders(vms)
		v.table.SetTimeSlots(endpoint.NewTimeSlots(n, vms))
		f.vms = append(f.vms, v)
		f.apply(v)
	}
	return f
}

func (e *zoneEndpoint) entry(revision uint64, left time.Duration, stated bool) hawthornrail.Endpoint {
	entry := hawthornrail.NewEndpointEntry(revision)
	if stated {
		entry = entry.WithColdLeft(left)
	}
	return hawthornrail.NewEndpoint(e.name, hawthornrail.ServiceEndpoint, e.dataCentre, "10.0.0.1:1", []string{"s"}).WithSlots(zoneSlots).WithEntry(entry)
}

func (f *zoneFleet) lag(longest time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(longest)))
}

// local returns the time of day at a VM.
func (f *zoneFleet) local(v *zoneVM) time.Time { return f.now.Add(v.offset) }

// apply lets a VM apply what it has heard.
func (f *zoneFleet) apply(v *zoneVM) {
	v.table.SetConditions(endpoint.NewConditions(v.evacuations, f.local(v)).WithColdStart(coldStart, coldRate))
	v.table.Set(v.endpoints)
}

// setEvacuated lets a VM hear which data centres are evacuated.
func (f *zoneFleet) setEvacuated(v *zoneVM, revision uint64, dataCentres ...string) {
	var list []hawthornrail.Evacuation
	for _, dc := range dataCentres {
		list = append(list, hawthornrail.NewEvacuation(dc, revision))
	}
	v.evacuations = v.evacuations.Next(list, revision, f.local(v))
	f.apply(v)
}

// setEntry lets a VM hear of a later entry of an endpoint.
func (f *zoneFleet) setEntry(v *zoneVM, e hawthornrail.Endpoint) {
	list := make([]hawthornrail.Endpoint, 0, len(v.endpoints)+1)
	for _, other := range v.endpoints {
		if other.Name() != e.Name() {
			list = append(list, other)
		}
	}
	v.endpoints = append(list, e)
	f.apply(v)
}

// news calls hear for each VM once it has heard something, after a time of at most
// longest, while the load goes on for a period.
func (f *zoneFleet) news(perSecond float64, longest, period time.Duration, hear func(*zoneVM)) {
	due := make(map[int][]*zoneVM)
	for _, v := range f.vms {
		n := int(f.lag(longest) / step)
		due[n] = append(due[n], v)
	}
	f.steps(perSecond, period, func(n int) {
		for _, v := range due[n] {
			hear(v)
		}
	})
}

// steps offers perSecond requests a second at random VMs for a period.
func (f *zoneFleet) steps(perSecond float64, period time.Duration, before func(n int)) {
	owed := 0.0
	for n := range int(period / step) {
		before(n)
		for _, e := range f.endpoints {
			f.serve(e)
		}
		// Exponential gaps give bursts as in practice.
		for owed += perSecond * step.Seconds(); owed > 0; owed -= f.random.ExpFloat64() {
			f.offer(f.vms[f.random.IntN(len(f.vms))])
		}
		f.now = f.now.Add(step)
	}
}

func (f *zoneFleet) idle(int) {}

// highLoad returns 80% of the requests a second that all endpoints can serve.
func (f *zoneFleet) highLoad() float64 {
	return 0.8 * float64(len(f.endpoints)) * zoneSlots / f.service.Seconds()
}

func (f *zoneFleet) offer(v *zoneVM) {
	chosen, ok := v.table.Choose(hawthornrail.NewPickQuery(hawthornrail.ServiceEndpoint, "s", "", 0), f.local(v))
	if !ok {
		f.refused++
		return
	}
	f.sent++
	e := f.byName[chosen.Name()]
	e.got = append(e.got, f.now)
	e.waiting = append(e.waiting, zoneRun{vm: v})
	f.serve(e)
}

// serve ends the runs that are due and starts waiting ones.
func (f *zoneFleet) serve(e *zoneEndpoint) {
	var running []zoneRun
	for _, r := range e.running {
		if r.end.After(f.now) {
			running = append(running, r)
			continue
		}
		r.vm.table.Done(e.name, endpoint.Served, f.service, f.local(r.vm))
		r.vm.table.Report(e.name, endpoint.NewReport(len(e.waiting), len(running), 0, 0), f.local(r.vm))
	}
	for len(running) < zoneSlots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.end = f.now.Add(f.service)
		running = append(running, r)
	}
	e.running = running
}

// cool makes an endpoint cold from now on.
func (f *zoneFleet) cool(e *zoneEndpoint) { e.coldFrom, e.warmAt = f.now, f.now.Add(coldStart) }

// mostWhileCold returns the most requests that any endpoint got in a second while it was
// cold.
func (f *zoneFleet) mostWhileCold() int {
	most := 0
	for _, e := range f.endpoints {
		first := 0
		for i, at := range e.got {
			if at.Before(e.coldFrom) || !at.Before(e.warmAt) {
				first = i + 1
				continue
			}
			for at.Sub(e.got[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// gotIn returns how many requests the endpoints of the first data centre got in a time.
func (f *zoneFleet) gotIn(from, to time.Time) int {
	count := 0
	for _, e := range f.endpoints {
		for _, at := range e.got {
			if e.dataCentre == "dc0" && !at.Before(from) && at.Before(to) {
				count++
			}
		}
	}
	return count
}

func (f *zoneFleet) assertCold(t *testing.T) {
	t.Helper()
	most := f.mostWhileCold()
	t.Logf("%d requests in a second at most at a cold endpoint, %d refused of %d", most, f.refused, f.sent+f.refused)
	if float64(most) > allowedCold {
		t.Errorf("%d requests in a second at a cold endpoint, want %v at most", most, allowedCold)
	}
}

func forFleets(t *testing.T, test func(t *testing.T, vms int, seed uint64)) {
	t.Helper()
	for _, vms := range fleetSizes {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			for seed := range uint64(3) {
				test(t, vms, seed)
			}
		})
	}
}

// Guards against requests to an evacuated data centre, and against refusals while its
// load moves to the others at 80% load.
func TestEvacuationAtHighLoad(t *testing.T) {
	forFleets(t, func(t *testing.T, vms int, seed uint64) {
		f := newZoneFleet(seed, slowService, vms, dataCentres, perZone)
		f.steps(f.highLoad(), 4*time.Second, f.idle)
		f.news(f.highLoad(), evacuationBound, evacuationBound, func(v *zoneVM) {
			f.setEvacuated(v, 2, "dc0")
			for range 5 {
				e, ok := v.table.Choose(hawthornrail.NewPickQuery(hawthornrail.ServiceEndpoint, "s", "", 0), f.local(v))
				if !ok || e.DataCentre() == "dc0" {
					t.Errorf("a VM that knows of the evacuation chooses %q", e.Name())
				}
				v.table.Done(e.Name(), endpoint.Unknown, 0, f.local(v))
			}
		})
		inForce := f.now
		f.steps(f.highLoad(), 4*time.Second, f.idle)
		if got := f.gotIn(inForce, f.now); got > 0 {
			t.Errorf("%d requests to the evacuated data centre", got)
		}
		if f.refused > 0 {
			t.Errorf("%d of %d requests refused", f.refused, f.sent+f.refused)
		}
	})
}

// Guards against endpoints that crash after a withdrawal: they have become cold while
// nobody sent there, and their entries do not say so yet.
func TestWithdrawalWithColdEndpoints(t *testing.T) {
	for _, heard := range []time.Duration{200 * time.Millisecond, evacuationBound} {
		t.Run(fmt.Sprintf("heard within %v", heard), func(t *testing.T) {
			forFleets(t, func(t *testing.T, vms int, seed uint64) {
				withdraw(t, newZoneFleet(seed, fastService, vms, dataCentres, perZone), heard)
			})
		})
	}
	t.Run("half of the VMs have another list of VMs", func(t *testing.T) {
		forFleets(t, func(t *testing.T, vms int, seed uint64) {
			f := newZoneFleet(seed, fastService, vms, dataCentres, perZone)
			for n, v := range f.vms[:vms/2] {
				v.table.SetTimeSlots(endpoint.NewTimeSlots(n, vms-1))
			}
			withdraw(t, f, 200*time.Millisecond)
		})
	})
}

// withdraw evacuates a data centre, lets its endpoints become cold and withdraws the
// evacuation at once.
func withdraw(t *testing.T, f *zoneFleet, heard time.Duration) {
	t.Helper()
	for _, v := range f.vms {
		f.setEvacuated(v, 2, "dc0")
	}
	f.steps(f.highLoad(), 4*time.Second, f.idle)
	for _, e := range f.endpoints {
		if e.dataCentre == "dc0" {
			f.cool(e)
		}
	}
	f.news(f.highLoad(), heard, heard, func(v *zoneVM) { f.setEvacuated(v, 3) })
	f.steps(f.highLoad(), 7*time.Second, f.idle)
	f.assertCold(t)
	if f.refused > 0 {
		t.Errorf("%d of %d requests refused", f.refused, f.sent+f.refused)
	}
	usual := int(f.highLoad() / dataCentres)
	if got := f.gotIn(f.now.Add(-time.Second), f.now); got < usual/2 {
		t.Errorf("%d requests a second in the data centre, want about %d", got, usual)
	}
}

// Guards against endpoints that become cold between two reports: the VMs hear of it one
// after the other.
func TestBurstOfColdEndpoints(t *testing.T) {
	const entryLag = 1500 * time.Millisecond
	forFleets(t, func(t *testing.T, vms int, seed uint64) {
		f := newZoneFleet(seed, slowService, vms, dataCentres, perZone)
		f.steps(f.highLoad(), 4*time.Second, f.idle)
		cold := f.endpoints[:3]
		for _, e := range cold {
			f.cool(e)
		}
		f.news(f.highLoad(), entryLag, 6*time.Second, func(v *zoneVM) {
			for _, e := range cold {
				f.setEntry(v, e.entry(2, coldStart, true))
			}
		})
		f.assertCold(t)
		if f.refused > 0 {
			t.Errorf("%d of %d requests refused", f.refused, f.sent+f.refused)
		}
	})
}

// Guards against a service whose only endpoints have just started and get all requests of
// a fleet at once, or hardly any.
func TestOnlyColdEndpoints(t *testing.T) {
	const offered = 400
	forFleets(t, func(t *testing.T, vms int, seed uint64) {
		f := newZoneFleet(seed, slowService, vms, 3, 1)
		for _, v := range f.vms {
			v.endpoints = nil
			f.apply(v)
		}
		for _, e := range f.endpoints {
			f.cool(e)
		}
		started := f.now
		f.news(offered, time.Second, coldStart, func(v *zoneVM) {
			for _, e := range f.endpoints {
				f.setEntry(v, e.entry(2, 0, false))
			}
		})
		f.assertCold(t)
		got := f.gotIn(started.Add(time.Second), f.now)
		t.Logf("%d requests in 2 s at a cold endpoint", got)
		// Of 27 time slots those are lost whose VM gets no request within a second; at 340
		// VMs about a third are.
		if least := 13; got < least {
			t.Errorf("%d requests in 2 s at a cold endpoint, want at least %d", got, least)
		}
	})
}

// Guards against all requests of a fleet at an endpoint in the moment it becomes warm, and
// against one that is left unused then.
func TestWarmEndpointIsUsedGradually(t *testing.T) {
	forFleets(t, func(t *testing.T, vms int, seed uint64) {
		f := newZoneFleet(seed, fastService, vms, 1, 1)
		e := f.endpoints[0]
		for _, v := range f.vms {
			f.setEntry(v, e.entry(2, coldStart, true))
		}
		f.steps(0, coldStart+maxClockOffset, f.idle)
		warm := f.now
		f.steps(20*coldRate, 4*time.Second, f.idle)
		first, last := f.gotIn(warm, warm.Add(500*time.Millisecond)), f.gotIn(warm.Add(3*time.Second), f.now)
		t.Logf("%d requests in the first half second, %d in the fourth second", first, last)
		if first == 0 || first > int(3*coldRate) {
			t.Errorf("%d requests in the first half second, want 1 to %d", first, int(3*coldRate))
		}
		if least := int(18 * coldRate); last < least {
			t.Errorf("%d requests in the fourth second, want at least %d", last, least)
		}
	})
}

// Guards against VMs with two lists of VMs, half of them each, that all have their time
// slots at a cold endpoint at the same time.
func TestColdEndpointWithTwoListsOfVMs(t *testing.T) {
	const rounds, longCold, burst = 20, 30 * time.Second, 5000
	forFleets(t, func(t *testing.T, vms int, seed uint64) {
		f := newZoneFleet(seed, fastService, vms, 1, 1)
		e := f.endpoints[0]
		e.coldFrom, e.warmAt = f.now, f.now.Add(longCold)
		for n, v := range f.vms {
			if n < vms/2 {
				v.table.SetTimeSlots(endpoint.NewTimeSlots(n, vms-int(seed)-1))
			}
			f.setEntry(v, e.entry(2, longCold+time.Second, true))
		}
		for range rounds {
			// Time slots that are not used before the burst are used in it.
			f.steps(0, timeSlotLifetime, f.idle)
			f.steps(burst, 500*time.Millisecond, f.idle)
		}
		f.assertCold(t)
		// With one list it is the rate at most, and what rounding adds.
		if most := f.mostWhileCold(); float64(most) > 1.2*coldRate {
			t.Errorf("%d requests in a second, want hardly more than %v", most, coldRate)
		}
	})
}
