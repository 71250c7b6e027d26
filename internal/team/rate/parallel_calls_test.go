package rate_test

import (
	"fmt"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// newLendingSimulation has holders of a team's rate, one per data centre, and
// VMs without a share.
func newLendingSimulation(seed uint64, rps float64, holders, entries int) *simulation {
	var vms []hawthornrail.VM
	for _, v := range newVMs(holders, holders) {
		vms = append(vms, v.WithBorrowers())
	}
	for i := range entries {
		vms = append(vms, hawthornrail.NewVM(fmt.Sprintf("entry%d", i), fmt.Sprintf("dc%d", i%holders), "", false).WithoutRates())
	}
	sim := newSimulation(seed, rps, rps, vms)
	for _, m := range sim.machines {
		sim.start(m)
	}
	return sim
}

// addGroups lets programs make up to three parallel calls through different
// VMs, within 0.9 of the team's rate and three quarters of its burst, and
// returns the number of requests.
func (sim *simulation) addGroups(rps float64, holders int, from, to time.Duration) (offered int) {
	limiter := newFullBucket(traffic{rate: 0.9 * rps, burst: 0.75 * rps})
	for at := from; at < to; {
		size := 1 + sim.rng.IntN(3)
		at += time.Duration(sim.rng.ExpFloat64() * float64(size) / (0.8 * rps) * float64(time.Second))
		for range size {
			if _, ok := limiter.Take(origin.Add(at)); !ok {
				continue
			}
			offered++
			m := sim.machines[holders+sim.rng.IntN(len(sim.machines)-holders)]
			sim.schedule(at, func() { sim.request(m) })
		}
	}
	return offered
}

// Guards against refusals of a small team within its rate, on a few VMs and on
// many: they occur when tokens are split into fractions at several holders, or
// at VMs that wait for the remainder of a token.
func TestParallelCallsOfSmallTeams(t *testing.T) {
	const begin, end, target = 5 * time.Second, 305 * time.Second, 0.01
	for _, size := range []struct{ holders, entries int }{{3, 9}, {5, 83}} {
		for _, rps := range []float64{5, 8, 12, 20, 30, 50, 100} {
			t.Run(fmt.Sprintf("%d VMs, %.0f requests a second", size.entries, rps), func(t *testing.T) {
				sim := newLendingSimulation(uint64(rps), rps, size.holders, size.entries)
				offered := sim.addGroups(rps, size.holders, begin, end)
				sim.runUntil(end + time.Second)
				assertWithinRate(t, sim)
				if fraction := float64(sim.refused) / float64(offered); fraction >= target {
					t.Errorf("refused %d of %d requests within rate (%.1f%%), want fewer than %.0f%%", sim.refused, offered, 100*fraction, 100*target)
				}
			})
		}
	}
}
