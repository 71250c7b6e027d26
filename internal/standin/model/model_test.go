package model

import (
	"testing"

	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
	"hawthornrail.example/hawthornrail/internal/policy/fair"
	"pgregory.net/rapid"
)

const testSeconds = 120.0

func schedulerPolicy() Policy { return Scheduler(fair.DefaultLimits(), endpoint.DefaultParams()) }

func assertEqual(t *testing.T, name string, got, want float64) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", name, got, want)
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	trace := NewTrace(Cordillera(), 0.9, testSeconds, 1)
	for _, p := range append(Baselines(), schedulerPolicy()) {
		t.Run(p.Name(), func(t *testing.T) {
			a, b := Run(trace, p, Faults{FailEngine: true}), Run(trace, p, Faults{FailEngine: true})
			assertEqual(t, "p95", a.Latency(95).Seconds(), b.Latency(95).Seconds())
			assertEqual(t, "wasted", float64(a.WastedTokens()), float64(b.WastedTokens()))
			assertEqual(t, "worst team", a.WorstTeam(), b.WorstTeam())
		})
	}
}

func TestTraceHasRequestedLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := rapid.Float64Range(0.2, 2).Draw(t, "load")
		got := NewTrace(Verhaeghe(), load, testSeconds, rapid.Uint64().Draw(t, "seed")).Load()
		if got < load*0.999 || got > load*1.001 {
			t.Fatalf("got %.3f, want %.3f", got, load)
		}
	})
}

func TestLightLoadHasNoRefusals(t *testing.T) {
	trace := NewTrace(Cordillera(), 0.1, 4*testSeconds, 1)
	r := Run(trace, schedulerPolicy(), Faults{})
	t.Run("nothing is refused", func(t *testing.T) { assertEqual(t, "refused", float64(r.Refused()), 0) })
	t.Run("no engine is retried", func(t *testing.T) { assertEqual(t, "retries", float64(r.Retries()), 0) })
	t.Run("no slower than full batches", func(t *testing.T) {
		if got, limit := r.Latency(95), Ideal(trace).Latency(95); got > limit {
			t.Errorf("got %s, want at most %s", got, limit)
		}
	})
}

// Guards against an engine that exceeds its slots or cache memory or that
// loses a job.
func TestEngineStaysWithinSlotsAndMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEngine(0, func(string) {})
		sent, done := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "send") {
				p := &plan{id: rapid.StringMatching("[a-z]").Draw(t, "program"), turns: []turn{{prompt: rapid.IntRange(1, 100_000).Draw(t, "prompt"), completion: 10}}}
				e.waiting = append(e.waiting, &job{call: &call{run: &run{plan: p}}})
				sent++
			} else if wait, ok := e.nextCompletion(); ok {
				e.advance(e.now + wait)
			}
			done += len(e.collectFinished())
			if e.running() > engineSlots || e.pinned+e.cached > cacheTokens || e.pinned < 0 || e.cached < 0 {
				t.Fatalf("%d running, %d pinned, %d cached", e.running(), e.pinned, e.cached)
			}
		}
		if remaining := len(e.waiting) + e.running(); done+remaining != sent {
			t.Fatalf("%d sent, %d done, %d left", sent, done, remaining)
		}
	})
}

// Guards against a team that sends several times its rate and receives more
// than its fair share of an overloaded fleet while other teams pause between
// calls.
func TestTeamBeyondItsRateStaysWithinFairShare(t *testing.T) {
	trace := NewTrace(Cordillera(), 1.3, 15*testSeconds, 1)
	got := Run(trace, schedulerPolicy(), Faults{}).service[greedyTeam] / fairShares(trace)[greedyTeam]
	if got > 1.1 {
		t.Errorf("got %.3f of its fair share", got)
	}
}
