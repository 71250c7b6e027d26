package rate_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const scheduleLength = 40 * time.Second

// No team gets more than its rate and burst, summed over all VMs.
func TestNoMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawSchedule(t, "")
		f.run(scheduleLength)
		assertWithinRate(t, f)
	})
}

// The judge of TestNoMoreThanRateAndBurst finds rules that break the promise.
func TestJudgeCatchesNaiveRules(t *testing.T) {
	for _, naive := range []naiveRule{startsFull, lendsTwice, usesUnreleased} {
		t.Run(string(naive), func(t *testing.T) {
			schedules := rapid.Custom(func(t *rapid.T) *fleet { return drawSchedule(t, naive) })
			for seed := range 1000 {
				f := schedules.Example(seed)
				f.run(scheduleLength)
				if f.judge.failed != "" {
					t.Logf("caught with seed %d: %s", seed, f.judge.failed)
					return
				}
			}
			t.Error("not caught in 1,000 schedules")
		})
	}
}

func drawSchedule(t *rapid.T, naive naiveRule) *fleet {
	vms := someVMs(rapid.IntRange(1, 10).Draw(t, "vms"), rapid.IntRange(1, 3).Draw(t, "centres"))
	rps := rapid.Float64Range(0.5, 60).Draw(t, "rate")
	burst := rapid.Float64Range(1, 80).Draw(t, "burst")
	f := newFleet(rapid.Uint64().Draw(t, "seed"), rps, burst, vms)
	f.naive = naive
	f.loss = rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "loss")
	f.double = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "double")
	f.drift = rapid.SampledFrom([]float64{0, maxDrift}).Draw(t, "drift")
	for _, m := range f.machines {
		f.start(m)
	}
	for range rapid.IntRange(0, 12).Draw(t, "actions") {
		drawAction(t, f)
	}
	f.spray(rps)
	return f
}

// spray sends requests over the machines, most of them to a few, in phases
// without load and far beyond the rate: only a burst after a quiet time shows
// tokens that are too many.
func (f *fleet) spray(rps float64) {
	phases := []float64{0, 0, 0.5, 1, 10}
	for begin := time.Duration(0); begin < scheduleLength; {
		end := begin + time.Duration(f.rng.Int64N(int64(4*time.Second)))
		if load := phases[f.rng.IntN(len(phases))] * rps; load > 0 {
			f.phase(begin, end, load)
		}
		begin = end
	}
}

func (f *fleet) phase(begin, end time.Duration, rps float64) {
	gap := func() time.Duration { return time.Duration(f.rng.ExpFloat64() / rps * float64(time.Second)) }
	for at := begin + gap(); at < end; at += gap() {
		i := min(f.rng.IntN(len(f.machines)), f.rng.IntN(len(f.machines)))
		f.at(at, func() { f.request(f.machines[i]) })
	}
}

func drawAction(t *rapid.T, f *fleet) {
	at := drawTime(t, "at", scheduleLength)
	last := drawTime(t, "for", 20*time.Second)
	m := f.machines[rapid.IntRange(0, len(f.machines)-1).Draw(t, "vm")]
	switch rapid.SampledFrom([]string{"restart", "restart", "freeze", "restart all", "cut", "change"}).Draw(t, "action") {
	case "restart":
		f.at(at, func() { f.kill(m) })
		f.at(at+last/20, func() { f.start(m) })
	case "freeze":
		f.at(at, func() { f.freeze(m, true) })
		f.at(at+last, func() { f.freeze(m, false) })
	case "restart all":
		f.at(at, func() {
			for _, m := range f.machines {
				f.kill(m)
				f.start(m)
			}
		})
	case "cut":
		f.at(at, func() { f.cut[m.vm.DataCentre()] = true })
		f.at(at+last, func() { f.cut[m.vm.DataCentre()] = false })
		if rapid.Bool().Draw(t, "changed meanwhile") {
			drawChange(t, f, at+last/10)
		}
	case "change":
		drawChange(t, f, at)
	}
}

func drawTime(t *rapid.T, label string, most time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(0, int(most/time.Millisecond)).Draw(t, label)) * time.Millisecond
}

// drawChange changes the rate and burst or the list of VMs.
func drawChange(t *rapid.T, f *fleet, at time.Duration) {
	factor := rapid.SampledFrom([]float64{0.3, 0.6, 0.9, 2}).Draw(t, "factor")
	listed := rapid.SliceOfN(rapid.Bool(), len(f.machines), len(f.machines)).Draw(t, "listed")
	byList := rapid.Bool().Draw(t, "list")
	f.at(at, func() {
		c := f.configs[len(f.configs)-1]
		if !byList {
			c.rate, c.burst = c.rate*factor, max(1, c.burst*factor)
			f.accept(c)
			return
		}
		c.vms = nil
		for i, m := range f.machines {
			if listed[i] {
				c.vms = append(c.vms, m.vm)
			}
		}
		f.accept(c)
	})
}
