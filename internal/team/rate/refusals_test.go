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
	downTime    = 10 * time.Second
)

// traffic is a team's limits and the parameters of a trace of arrivals within
// them.
type traffic struct {
	vms   int
	rate  float64
	burst float64
	// useRate and useBurst are the fractions of its limits that the team uses.
	useRate  float64
	useBurst float64
	runs     int
	seed     uint64
}

type arrival struct {
	at time.Duration
	vm int
}

// arrivals draws requests, some in bursts, that a token bucket keeps within the
// fractions of the team's rate and burst. Half of them go to a quarter of the
// VMs, the rest to all VMs evenly.
func (sim *simulation) arrivals(tr traffic) []arrival {
	var arrivals []arrival
	limiter := newFullBucket(traffic{rate: tr.rate * tr.useRate, burst: tr.burst * tr.useBurst})
	for at := traceWarmUp; at < traceWarmUp+traceLength; {
		size := 1
		if sim.rng.IntN(50) == 0 {
			size = 1 + sim.rng.IntN(max(1, int(tr.burst/8)))
		}
		mean := float64(size) / (traceLoad * tr.rate)
		at += time.Duration(sim.rng.ExpFloat64() * mean * float64(time.Second))
		for range size {
			if _, ok := limiter.Take(origin.Add(at)); ok {
				arrivals = append(arrivals, arrival{at, sim.skewedVM(tr.vms)})
			}
		}
	}
	return arrivals
}

func (sim *simulation) skewedVM(vms int) int {
	if sim.rng.IntN(2) == 0 {
		return sim.rng.IntN(max(1, vms/4))
	}
	return sim.rng.IntN(vms)
}

func newFullBucket(tr traffic) *bucket {
	b := newBucket(tr.rate, tr.burst, origin.Add(-time.Hour))
	b.Resize(tr.rate, tr.burst, origin)
	return b
}

// refusals is the number of requests of a trace and of refusals under three
// schemes: one central bucket, static equal shares, and the fleet's accounts.
type refusals struct {
	offered        int
	central        int
	static         int
	fleet          int
	borrowRequests int
}

func (r refusals) add(other refusals) refusals {
	return refusals{
		r.offered + other.offered, r.central + other.central, r.static + other.static, r.fleet + other.fleet, r.borrowRequests + other.borrowRequests,
	}
}

func (r refusals) fraction(n int) float64 { return float64(n) / float64(r.offered) }

// runTrace runs one trace. If kill, a holder dies halfway and restarts after
// down; its callers use the next VM meanwhile.
func runTrace(tr traffic, kill bool, down time.Duration) (refusals, *simulation) {
	sim := newSimulation(tr.seed, tr.rate, tr.burst, newVMs(tr.vms, 3))
	for _, m := range sim.machines {
		sim.start(m)
	}
	arrivals := sim.arrivals(tr)
	killed := -1
	if holders := sim.configs[0].plan().Holders(); kill {
		killed = slices.Index(sim.machines, sim.machine(holders[0].Name()))
	}
	death := traceWarmUp + traceLength/2
	dead := func(a arrival) bool { return a.vm == killed && a.at >= death && a.at < death+down }
	if kill {
		sim.schedule(death, func() { sim.kill(sim.machines[killed]) })
		sim.schedule(death+down, func() { sim.start(sim.machines[killed]) })
	}
	r := refusals{}
	central := newFullBucket(tr)
	static := make([]*bucket, tr.vms)
	for i := range static {
		equalShare := traffic{rate: tr.rate / float64(tr.vms), burst: tr.burst / float64(tr.vms)}
		static[i] = newFullBucket(equalShare)
	}
	for i, a := range arrivals {
		if dead(a) {
			arrivals[i].vm = (a.vm + 1) % tr.vms
		}
	}
	for _, a := range arrivals {
		sim.schedule(a.at, func() { sim.request(sim.machines[a.vm]) })
		_, centralOK := central.Take(origin.Add(a.at))
		_, staticOK := static[a.vm].Take(origin.Add(a.at))
		r.offered++
		r.central += count(!centralOK)
		r.static += count(!staticOK)
	}
	sim.runUntil(traceWarmUp + traceLength + time.Second)
	r.fleet, r.borrowRequests = sim.refused, sim.borrowRequests
	return r, sim
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// A team within its rate and burst has fewer than 1 in 1,000 requests refused,
// and fewer than 1 in 100 while one VM is dead.
func TestRefusalsWithinRate(t *testing.T) {
	assertRefusals(t, []float64{20, 100, 500})
}

// Checks the same for a team whose burst is less than three requests per VM.
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
			for seed, tr := range newTraffics(rates) {
				r := refusals{}
				for run := range tr.runs {
					tr.seed = uint64(100*seed + run)
					one, sim := runTrace(tr, c.kill, downTime)
					assertWithinRate(t, sim)
					assertRetryTimes(t, sim.retryTimes)
					r = r.add(one)
				}
				t.Logf("%4d %6.0f %6.0f %8d %7.3f%% %7.3f%% %7.3f%% %8.2f", tr.vms, tr.rate, tr.burst, r.offered,
					100*r.fraction(r.static), 100*r.fraction(r.central), 100*r.fraction(r.fleet), r.fraction(r.borrowRequests))
				if r.fraction(r.fleet) >= c.target {
					t.Errorf("refused %d of %d requests within rate, want fewer than %.1f%%", r.fleet, r.offered, 100*c.target)
				}
			}
		})
	}
}

func newTraffics(rates []float64) []traffic {
	var traffics []traffic
	for vms := 7; vms <= 9; vms++ {
		for _, rps := range rates {
			traffics = append(traffics, traffic{vms: vms, rate: rps, burst: math.Max(20, 2*rps), useRate: 0.95, useBurst: 0.75, runs: 1 + int(100/rps)})
		}
	}
	return traffics
}

func assertRetryTimes(t *testing.T, retries []time.Duration) {
	t.Helper()
	for _, d := range retries {
		if d <= 0 || d%time.Millisecond != 0 {
			t.Errorf("retry after %s, want whole milliseconds above 0", d)
		}
	}
}
