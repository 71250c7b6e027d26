package rate_test

import (
	"math"
	"slices"
	"testing"
	"time"
)

const (
	traceLength = 120 * time.Second
	traceWarmUp = 10 * time.Second
	traceLoad   = 0.9
	deadFor     = 10 * time.Second
)

// traffic is a team's limits and its trace of arrivals within them.
type traffic struct {
	vms   int
	rate  float64
	burst float64
	// useRate and useBurst are the parts of its limits that the team keeps to.
	useRate  float64
	useBurst float64
	runs     int
	seed     uint64
}

type arrival struct {
	at time.Duration
	vm int
}

// arrivals draws requests with bursts, each within the team's rate and burst
// by a bucket of its own, over VMs of which some get four times as many.
func (f *fleet) arrivals(tr traffic) []arrival {
	var list []arrival
	own := newCentral(traffic{rate: tr.rate * tr.useRate, burst: tr.burst * tr.useBurst})
	for at := traceWarmUp; at < traceWarmUp+traceLength; {
		size := 1
		if f.rng.IntN(50) == 0 {
			size = 1 + f.rng.IntN(max(1, int(tr.burst/8)))
		}
		mean := float64(size) / (traceLoad * tr.rate)
		at += time.Duration(f.rng.ExpFloat64() * mean * float64(time.Second))
		for range size {
			if _, ok := own.Take(origin.Add(at)); ok {
				list = append(list, arrival{at, f.uneven(tr.vms)})
			}
		}
	}
	return list
}

func (f *fleet) uneven(vms int) int {
	if f.rng.IntN(2) == 0 {
		return f.rng.IntN(max(1, vms/4))
	}
	return f.rng.IntN(vms)
}

func newCentral(tr traffic) *bucket {
	b := newBucket(tr.rate, tr.burst, origin.Add(-time.Hour))
	b.Resize(tr.rate, tr.burst, origin)
	return b
}

// refusals is the outcome of one trace under each way.
type refusals struct {
	offered int
	central int
	static  int
	fleet   int
	asks    int
}

func (r refusals) add(o refusals) refusals {
	return refusals{
		r.offered + o.offered, r.central + o.central, r.static + o.static, r.fleet + o.fleet, r.asks + o.asks,
	}
}

func (r refusals) share(n int) float64 { return float64(n) / float64(r.offered) }

// measure runs one trace; if kill, a holder dies halfway and comes back after
// down, its callers go to the next VM.
func measure(tr traffic, kill bool, down time.Duration) (refusals, *fleet) {
	f := newFleet(tr.seed, tr.rate, tr.burst, someVMs(tr.vms, 3))
	for _, m := range f.machines {
		f.start(m)
	}
	list := f.arrivals(tr)
	killed := -1
	if holders := f.configs[0].plan().Holders(); kill {
		killed = slices.Index(f.machines, f.machine(holders[0].Name()))
	}
	death := traceWarmUp + traceLength/2
	dead := func(a arrival) bool { return a.vm == killed && a.at >= death && a.at < death+down }
	if kill {
		f.at(death, func() { f.kill(f.machines[killed]) })
		f.at(death+down, func() { f.start(f.machines[killed]) })
	}
	r := refusals{}
	central := newCentral(tr)
	static := make([]*bucket, tr.vms)
	for i := range static {
		part := traffic{rate: tr.rate / float64(tr.vms), burst: tr.burst / float64(tr.vms)}
		static[i] = newCentral(part)
	}
	for i, a := range list {
		if dead(a) {
			list[i].vm = (a.vm + 1) % tr.vms
		}
	}
	for _, a := range list {
		f.at(a.at, func() { f.request(f.machines[a.vm]) })
		_, centralOK := central.Take(origin.Add(a.at))
		_, staticOK := static[a.vm].Take(origin.Add(a.at))
		r.offered++
		r.central += count(!centralOK)
		r.static += count(!staticOK)
	}
	f.run(traceWarmUp + traceLength + time.Second)
	r.fleet, r.asks = f.refused, f.asks
	return r, f
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// A team within its rate and burst is refused on fewer than 1 request in
// 1,000, and on fewer than 1 in 100 while one VM is dead.
func TestRefusalsWithinRate(t *testing.T) {
	assertRefusals(t, []float64{20, 100, 500})
}

// The same for a team whose burst is less than three requests a VM.
func TestRefusalsWithinSmallRate(t *testing.T) {
	assertRefusals(t, []float64{5})
}

func assertRefusals(t *testing.T, rates []float64) {
	t.Helper()
	for _, c := range []struct {
		name   string
		kill   bool
		target float64
	}{
		{"all VMs live", false, 0.001},
		{"one VM dies", true, 0.01},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Logf("%4s %6s %6s %8s %8s %8s %8s %8s", "VMs", "rate", "burst", "offered", "static", "central", "fleet", "asks")
			for seed, tr := range traffics(rates) {
				r := refusals{}
				for run := range tr.runs {
					tr.seed = uint64(100*seed + run)
					one, f := measure(tr, c.kill, deadFor)
					assertWithinRate(t, f)
					assertRetryTimes(t, f.retries)
					r = r.add(one)
				}
				t.Logf("%4d %6.0f %6.0f %8d %7.3f%% %7.3f%% %7.3f%% %8.2f", tr.vms, tr.rate, tr.burst, r.offered,
					100*r.share(r.static), 100*r.share(r.central), 100*r.share(r.fleet), r.share(r.asks))
				if r.share(r.fleet) >= c.target {
					t.Errorf("refused %d of %d requests within rate, want fewer than %.1f%%", r.fleet, r.offered, 100*c.target)
				}
			}
		})
	}
}

func traffics(rates []float64) []traffic {
	var list []traffic
	for vms := 7; vms <= 9; vms++ {
		for _, rps := range rates {
			list = append(list, traffic{vms: vms, rate: rps, burst: math.Max(20, 2*rps), useRate: 0.95, useBurst: 0.75, runs: 1 + int(100/rps)})
		}
	}
	return list
}

func assertRetryTimes(t *testing.T, retries []time.Duration) {
	t.Helper()
	for _, d := range retries {
		if d <= 0 || d%time.Millisecond != 0 {
			t.Errorf("retry after %s, want whole milliseconds above 0", d)
		}
	}
}
