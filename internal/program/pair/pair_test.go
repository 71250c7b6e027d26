package pair_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const (
	scheduleLength    = 600
	recoveryLength    = 3000
	schedules         = 20_000
	weakRuleSchedules = 100_000
)

func (w *simulation) run(length int) {
	for range length {
		if w.violation == "" {
			w.runEvent()
		}
	}
}

func seededSimulation(seed uint64, rule weakRule) *simulation {
	random := rand.New(rand.NewPCG(seed, 0))
	return newSimulation(2+random.IntN(3), random.IntN, rule)
}

func drawnSimulation(t *rapid.T) *simulation {
	choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
	return newSimulation(2+choose(3), choose, correctRules)
}

// A step that took effect is never lost, and no two instances take steps from
// the same state, in any schedule of kills, freezes, network partitions, lost,
// duplicated and reordered messages and platform outages.
func TestOneHolderActs(t *testing.T) {
	t.Run("drawn schedules", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			w := drawnSimulation(t)
			w.run(scheduleLength)
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		})
	})
	t.Run("seeded schedules", func(t *testing.T) {
		for seed := range uint64(schedules) {
			w := seededSimulation(seed, correctRules)
			if w.run(scheduleLength); w.violation != "" {
				t.Fatalf("seed %d: %s", seed, w.violation)
			}
		}
	})
}

// If no instance is killed, a holding takes steps again once the faults end.
func TestRecoveryAfterFaults(t *testing.T) {
	t.Run("drawn seeds", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			if !recovers(rapid.Uint64().Draw(t, "seed")) {
				t.Fatal("no step after the faults")
			}
		})
	})
	t.Run("delayed offer of a superseded holder", func(t *testing.T) {
		const lateOffer = 0x2e60
		if !recovers(lateOffer) {
			t.Error("no step after the faults")
		}
	})
}

func recovers(seed uint64) bool {
	w := seededSimulation(seed, correctRules)
	w.noKills = true
	w.run(scheduleLength)
	w.endFaults()
	before := len(w.committed)
	w.run(recoveryLength)
	return w.violation == "" && len(w.committed) > before
}

// The same schedules detect rules that seem safe on their own but are too weak.
func TestWeakRulesAreDetected(t *testing.T) {
	find := func(rule weakRule) bool {
		for seed := range uint64(weakRuleSchedules) {
			w := seededSimulation(seed, rule)
			if w.run(scheduleLength); w.violation != "" {
				t.Logf("seed %d: %s", seed, w.violation)
				return true
			}
		}
		return false
	}
	t.Run("backup takes over alone while the platform is unreachable", func(t *testing.T) {
		if !find(takeOverAlone) {
			t.Error("not detected")
		}
	})
	t.Run("holder replaces a backup that restarted", func(t *testing.T) {
		if !find(trustRestart) {
			t.Error("not detected")
		}
	})
	t.Run("holder replaces an unresponsive backup alone", func(t *testing.T) {
		if !find(replaceAlone) {
			t.Error("not detected")
		}
	})
}
