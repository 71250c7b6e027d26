package rate_test

import (
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
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
	for _, naive := range []naiveRule{startsFull, lendsTwice} {
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
	t.Run(string(usesUnreleased), func(t *testing.T) {
		f := changedWhileCutOff(usesUnreleased, withoutFirst)
		if f.judge.failed == "" {
			t.Error("not caught")
		}
		t.Log(f.judge.failed)
	})
}

// The part of a VM that can't hear of a change is not used by others.
func TestChangeWhileCutOff(t *testing.T) {
	t.Run("VM taken off the list", func(t *testing.T) {
		assertWithinRate(t, changedWhileCutOff("", withoutFirst))
	})
	t.Run("rate halved", func(t *testing.T) {
		assertWithinRate(t, changedWhileCutOff("", halved))
	})
}

// A VM that can't hear of a cut keeps its part although every VM that knew of
// the change has been restarted.
func TestForgottenChange(t *testing.T) {
	f := newFleet(1, 40, 40, someVMs(4, 4))
	f.strict = true
	for _, m := range f.machines {
		f.start(m)
	}
	f.at(5*time.Second, func() { f.cut["dc0"] = true })
	f.at(6*time.Second, func() { f.accept(halved(f.configs[0])) })
	for _, m := range f.machines[1:] {
		f.restart(m, 14*time.Second, time.Second)
	}
	f.phase(30*time.Second, 39*time.Second, 400)
	f.run(scheduleLength)
	assertWithinRate(t, f)
}

func withoutFirst(c config) config {
	c.vms = c.vms[1:]
	return c
}

func halved(c config) config {
	c.rate, c.burst = c.rate/2, c.burst/2
	return c
}

// changedWhileCutOff makes a change that one VM can't hear of; all VMs are
// loaded beyond the rate after a quiet time.
func changedWhileCutOff(naive naiveRule, change func(config) config) *fleet {
	f := newFleet(1, 40, 40, someVMs(4, 4))
	f.naive = naive
	for _, m := range f.machines {
		f.start(m)
	}
	f.at(5*time.Second, func() { f.cut["dc0"] = true })
	f.at(6*time.Second, func() { f.accept(change(f.configs[0])) })
	f.phase(25*time.Second, 30*time.Second, 400)
	f.run(scheduleLength)
	return f
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
	// Times and choices come from the seed, evenly: values that rapid draws
	// tend to be small, and faults then seldom meet.
	for range rapid.IntRange(0, 16).Draw(t, "faults") {
		f.fault()
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

// fault adds a fault or a change at some time.
func (f *fleet) fault() {
	at, last := f.upTo(scheduleLength), f.upTo(20*time.Second)
	m := f.machines[f.rng.IntN(len(f.machines))]
	faults := []func(){
		func() { f.restart(m, at, last/20) },
		func() { f.restart(m, at, last/20) },
		func() { f.at(at, func() { f.leave(m) }) },
		func() { f.pause(m, at, last) },
		func() { f.restartAll(at) },
		func() { f.cutOff(m.vm.DataCentre(), at, last) },
		func() { f.change(at) },
	}
	faults[f.rng.IntN(len(faults))]()
}

func (f *fleet) upTo(most time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(most)))
}

func (f *fleet) restart(m *machine, at, down time.Duration) {
	f.at(at, func() { f.kill(m) })
	f.at(at+down, func() { f.start(m) })
}

func (f *fleet) pause(m *machine, at, last time.Duration) {
	f.at(at, func() { f.freeze(m, true) })
	f.at(at+last, func() { f.freeze(m, false) })
}

func (f *fleet) restartAll(at time.Duration) {
	f.at(at, func() {
		for _, m := range f.machines {
			f.kill(m)
			f.start(m)
		}
	})
}

// cutOff cuts a data centre off, half of the time with a change meanwhile.
func (f *fleet) cutOff(dc string, at, last time.Duration) {
	f.at(at, func() { f.cut[dc] = true })
	f.at(at+last, func() { f.cut[dc] = false })
	if f.rng.IntN(2) == 0 {
		f.change(at + f.upTo(last/4))
	}
}

// change changes the rate and burst or the list of VMs.
func (f *fleet) change(at time.Duration) {
	factor := []float64{0.3, 0.6, 0.9, 2}[f.rng.IntN(4)]
	var listed []hawthornrail.VM
	for _, m := range f.machines {
		if f.rng.IntN(3) > 0 {
			listed = append(listed, m.vm)
		}
	}
	byList := f.rng.IntN(2) == 0
	f.at(at, func() {
		c := f.configs[len(f.configs)-1]
		if byList {
			c.vms = listed
		} else {
			c.rate, c.burst = c.rate*factor, max(1, c.burst*factor)
		}
		f.accept(c)
	})
}
