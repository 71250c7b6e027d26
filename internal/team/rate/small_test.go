package rate_test

import (
	"fmt"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// lendingFleet is holders of a team's rate, one a data centre, and VMs without
// a part.
func lendingFleet(seed uint64, rps float64, holders, entries int) *fleet {
	var list []hawthornrail.VM
	for _, v := range someVMs(holders, holders) {
		list = append(list, v.HoldingForOthers())
	}
	for i := range entries {
		list = append(list, hawthornrail.NewVM(fmt.Sprintf("entry%d", i), fmt.Sprintf("dc%d", i%holders), "", false).WithoutRates())
	}
	f := newFleet(seed, rps, rps, list)
	for _, m := range f.machines {
		f.start(m)
	}
	return f
}

// groups lets programs call up to three tools at once through different VMs,
// within 0.9 of the team's rate and three quarters of its burst, and returns
// how many requests that are.
func (f *fleet) groups(rps float64, holders int, from, to time.Duration) (offered int) {
	own := newCentral(traffic{rate: 0.9 * rps, burst: 0.75 * rps})
	for at := from; at < to; {
		size := 1 + f.rng.IntN(3)
		at += time.Duration(f.rng.ExpFloat64() * float64(size) / (0.8 * rps) * float64(time.Second))
		for range size {
			if _, ok := own.Take(origin.Add(at)); !ok {
				continue
			}
			offered++
			m := f.machines[holders+f.rng.IntN(len(f.machines)-holders)]
			f.at(at, func() { f.request(m) })
		}
	}
	return offered
}

// A team of a few requests a second, within its rate, before a few VMs and
// before many: tokens must not lie about as fractions at several holders, nor at
// VMs that wait for the rest of one.
func TestGroupsOfSmallTeams(t *testing.T) {
	const begin, end, target = 5 * time.Second, 305 * time.Second, 0.01
	for _, size := range []struct{ holders, entries int }{{3, 9}, {5, 83}} {
		for _, rps := range []float64{5, 8, 12, 20, 30, 50, 100} {
			t.Run(fmt.Sprintf("%d VMs, %.0f requests a second", size.entries, rps), func(t *testing.T) {
				f := lendingFleet(uint64(rps), rps, size.holders, size.entries)
				offered := f.groups(rps, size.holders, begin, end)
				f.run(end + time.Second)
				assertWithinRate(t, f)
				if share := float64(f.refused) / float64(offered); share >= target {
					t.Errorf("refused %d of %d requests within rate (%.1f%%), want fewer than %.0f%%", f.refused, offered, 100*share, 100*target)
				}
			})
		}
	}
}
