package rate_test

import (
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"pgregory.net/rapid"
)

const simulationLength = 40 * time.Second

// Guards against a team that gets more than its rate and burst, summed over all
// VMs, under random faults and configuration changes.
func TestNoMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t, "")
		sim.runUntil(simulationLength)
		assertWithinRate(t, sim)
	})
}

// Checks that the oracle of TestNoMoreThanRateAndBurst detects faulty rules.
func TestOracleDetectsMutations(t *testing.T) {
	for _, rule := range []mutation{startsFull, lendsTwice} {
		t.Run(string(rule), func(t *testing.T) {
			simulations := rapid.Custom(func(t *rapid.T) *simulation { return drawSimulation(t, rule) })
			for seed := range 1000 {
				sim := simulations.Example(seed)
				sim.runUntil(simulationLength)
				if sim.oracle.violation != "" {
					t.Logf("detected with seed %d: %s", seed, sim.oracle.violation)
					return
				}
			}
			t.Error("not detected in 1,000 schedules")
		})
	}
	t.Run(string(usesUnreleased), func(t *testing.T) {
		sim := runChangeDuringPartition(usesUnreleased, withoutFirstVM)
		if sim.oracle.violation == "" {
			t.Error("not detected")
		}
		t.Log(sim.oracle.violation)
	})
}

// Guards against others using the share of a partitioned VM that a change does
// not reach.
func TestChangeDuringPartition(t *testing.T) {
	t.Run("VM removed from the list", func(t *testing.T) {
		assertWithinRate(t, runChangeDuringPartition("", withoutFirstVM))
	})
	t.Run("rate halved", func(t *testing.T) {
		assertWithinRate(t, runChangeDuringPartition("", withHalvedRate))
	})
}

// Guards against others using the share of a partitioned VM that a rate
// reduction does not reach, after every VM that knew of the earlier rate has
// restarted.
func TestForgottenChange(t *testing.T) {
	sim := newSimulation(1, 40, 40, newVMs(4, 4))
	sim.strict = true
	for _, m := range sim.machines {
		sim.start(m)
	}
	sim.schedule(5*time.Second, func() { sim.partitioned["dc0"] = true })
	sim.schedule(6*time.Second, func() { sim.acceptConfig(withHalvedRate(sim.configs[0])) })
	for _, m := range sim.machines[1:] {
		sim.restart(m, 14*time.Second, time.Second)
	}
	sim.addPhase(30*time.Second, 39*time.Second, 400)
	sim.runUntil(simulationLength)
	assertWithinRate(t, sim)
}

func withoutFirstVM(c config) config {
	c.vms = c.vms[1:]
	return c
}

func withHalvedRate(c config) config {
	c.rate, c.burst = c.rate/2, c.burst/2
	return c
}

// runChangeDuringPartition makes a change that does not reach one VM; after an
// idle phase all VMs get more requests than the rate.
func runChangeDuringPartition(rule mutation, change func(config) config) *simulation {
	sim := newSimulation(1, 40, 40, newVMs(4, 4))
	sim.mutation = rule
	for _, m := range sim.machines {
		sim.start(m)
	}
	sim.schedule(5*time.Second, func() { sim.partitioned["dc0"] = true })
	sim.schedule(6*time.Second, func() { sim.acceptConfig(change(sim.configs[0])) })
	sim.addPhase(25*time.Second, 30*time.Second, 400)
	sim.runUntil(simulationLength)
	return sim
}

func drawSimulation(t *rapid.T, rule mutation) *simulation {
	vms := newVMs(rapid.IntRange(1, 10).Draw(t, "vms"), rapid.IntRange(1, 3).Draw(t, "centres"))
	rps := rapid.Float64Range(0.5, 60).Draw(t, "rate")
	burst := rapid.Float64Range(1, 80).Draw(t, "burst")
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rps, burst, vms)
	sim.mutation = rule
	sim.loss = rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "loss")
	sim.duplication = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "double")
	sim.clockDrift = rapid.SampledFrom([]float64{0, maxClockDrift}).Draw(t, "drift")
	for _, m := range sim.machines {
		sim.start(m)
	}
	// Times and choices are drawn evenly from the seed: values that rapid draws
	// tend to be small, so that faults would seldom coincide.
	for range rapid.IntRange(0, 16).Draw(t, "faults") {
		sim.addFault()
	}
	sim.addLoad(rps)
	sim.maxWait = rapid.SampledFrom([]time.Duration{borrowTimeout, time.Second}).Draw(t, "wait")
	return sim
}

// addLoad sends requests to the machines, most of them to a few, in phases
// between idle and far beyond the rate: excess tokens only show in a burst
// after an idle phase.
func (sim *simulation) addLoad(rps float64) {
	phases := []float64{0, 0, 0.5, 1, 10}
	for begin := time.Duration(0); begin < simulationLength; {
		end := begin + time.Duration(sim.rng.Int64N(int64(4*time.Second)))
		if load := phases[sim.rng.IntN(len(phases))] * rps; load > 0 {
			sim.addPhase(begin, end, load)
		}
		begin = end
	}
}

func (sim *simulation) addPhase(begin, end time.Duration, rps float64) {
	gap := func() time.Duration { return time.Duration(sim.rng.ExpFloat64() / rps * float64(time.Second)) }
	for at := begin + gap(); at < end; at += gap() {
		i := min(sim.rng.IntN(len(sim.machines)), sim.rng.IntN(len(sim.machines)))
		sim.schedule(at, func() { sim.request(sim.machines[i]) })
	}
}

// addFault schedules a random fault or configuration change.
func (sim *simulation) addFault() {
	at, duration := sim.randomUpTo(simulationLength), sim.randomUpTo(20*time.Second)
	m := sim.machines[sim.rng.IntN(len(sim.machines))]
	faults := []func(){
		func() { sim.restart(m, at, duration/20) },
		func() { sim.restart(m, at, duration/20) },
		func() { sim.schedule(at, func() { sim.drain(m) }) },
		func() { sim.pause(m, at, duration) },
		func() { sim.restartAll(at) },
		func() { sim.partition(m.vm.DataCentre(), at, duration) },
		func() { sim.changeConfig(at) },
	}
	faults[sim.rng.IntN(len(faults))]()
}

func (sim *simulation) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(limit)))
}

func (sim *simulation) restart(m *machine, at, down time.Duration) {
	sim.schedule(at, func() { sim.kill(m) })
	sim.schedule(at+down, func() { sim.start(m) })
}

func (sim *simulation) pause(m *machine, at, duration time.Duration) {
	sim.schedule(at, func() { sim.freeze(m, true) })
	sim.schedule(at+duration, func() { sim.freeze(m, false) })
}

func (sim *simulation) restartAll(at time.Duration) {
	sim.schedule(at, func() {
		for _, m := range sim.machines {
			sim.kill(m)
			sim.start(m)
		}
	})
}

// partition disconnects a data centre for some time, in half of the cases with
// a configuration change meanwhile.
func (sim *simulation) partition(dc string, at, duration time.Duration) {
	sim.schedule(at, func() { sim.partitioned[dc] = true })
	sim.schedule(at+duration, func() { sim.partitioned[dc] = false })
	if sim.rng.IntN(2) == 0 {
		sim.changeConfig(at + sim.randomUpTo(duration/4))
	}
}

// changeConfig changes either the rate and burst or the list of VMs.
func (sim *simulation) changeConfig(at time.Duration) {
	factor := []float64{0.3, 0.6, 0.9, 2}[sim.rng.IntN(4)]
	var listed []hawthornrail.VM
	for _, m := range sim.machines {
		if sim.rng.IntN(3) > 0 {
			listed = append(listed, m.vm)
		}
	}
	byList := sim.rng.IntN(2) == 0
	sim.schedule(at, func() {
		c := sim.configs[len(sim.configs)-1]
		if byList {
			c.vms = listed
		} else {
			c.rate, c.burst = c.rate*factor, max(1, c.burst*factor)
		}
		sim.acceptConfig(c)
	})
}
