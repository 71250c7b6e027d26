package pair_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const (
	scheduleLength = 600
	calmLength     = 3000
	schedules      = 20_000
	naiveSchedules = 100_000
)

func (w *world) run(length int) {
	for range length {
		if w.broken == "" {
			w.act()
		}
	}
}

func seeded(seed uint64, rule naive) *world {
	random := rand.New(rand.NewPCG(seed, 0))
	return newWorld(2+random.IntN(3), random.IntN, rule)
}

func drawn(t *rapid.T) *world {
	choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
	return newWorld(2+choose(3), choose, proper)
}

// A step that took effect is never lost, and no two instances take steps from
// the same state: in any schedule of kills, freezes, cuts, lost, repeated and
// reordered messages and platform outages.
func TestOneHolderActs(t *testing.T) {
	t.Run("drawn schedules", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			w := drawn(t)
			w.run(scheduleLength)
			if w.broken != "" {
				t.Fatal(w.broken)
			}
		})
	})
	t.Run("seeded schedules", func(t *testing.T) {
		for seed := range uint64(schedules) {
			w := seeded(seed, proper)
			if w.run(scheduleLength); w.broken != "" {
				t.Fatalf("seed %d: %s", seed, w.broken)
			}
		}
	})
}

// While no instance dies, a holding can be stepped again once faults end.
func TestFaultsEnd(t *testing.T) {
	t.Run("drawn seeds", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			if !recovers(rapid.Uint64().Draw(t, "seed")) {
				t.Fatal("no step after the faults")
			}
		})
	})
	t.Run("late offer of a superseded holder", func(t *testing.T) {
		const lateOffer = 0x2e60
		if !recovers(lateOffer) {
			t.Error("no step after the faults")
		}
	})
}

func recovers(seed uint64) bool {
	w := seeded(seed, proper)
	w.immortal = true
	w.run(scheduleLength)
	w.heal()
	before := len(w.truth)
	w.run(calmLength)
	return w.broken == "" && len(w.truth) > before
}

// The same schedules break the rules that each look safe alone.
func TestNaiveRulesBreak(t *testing.T) {
	find := func(rule naive) bool {
		for seed := range uint64(naiveSchedules) {
			w := seeded(seed, rule)
			if w.run(scheduleLength); w.broken != "" {
				t.Logf("seed %d: %s", seed, w.broken)
				return true
			}
		}
		return false
	}
	t.Run("backup takes over alone while the platform is away", func(t *testing.T) {
		if !find(takeAlone) {
			t.Error("not caught")
		}
	})
	t.Run("holder replaces a backup that started again", func(t *testing.T) {
		if !find(trustRestart) {
			t.Error("not caught")
		}
	})
	t.Run("holder replaces a silent backup alone", func(t *testing.T) {
		if !find(replaceAlone) {
			t.Error("not caught")
		}
	})
}
