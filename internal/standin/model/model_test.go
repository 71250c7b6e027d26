package model

import (
	"testing"

	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
	"hawthornrail.example/hawthornrail/internal/policy/fair"
	"pgregory.net/rapid"
)

const testSeconds = 120.0

func scheduled() Policy { return Scheduler(fair.DefaultLimits(), endpoint.DefaultParams()) }

func assertSame(t *testing.T, name string, got, want float64) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", name, got, want)
	}
}

func TestRunIsReproducible(t *testing.T) {
	trace := NewTrace(Cordillera(), 0.9, testSeconds, 1)
	for _, p := range append(Naive(), scheduled()) {
		t.Run(p.Name(), func(t *testing.T) {
			a, b := Run(trace, p, Faults{LoseEngine: true}), Run(trace, p, Faults{LoseEngine: true})
			assertSame(t, "p95", a.Latency(95).Seconds(), b.Latency(95).Seconds())
			assertSame(t, "wasted", float64(a.WastedTokens()), float64(b.WastedTokens()))
			assertSame(t, "worst team", a.WorstTeam(), b.WorstTeam())
		})
	}
}

func TestTraceAsksForItsLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := rapid.Float64Range(0.2, 2).Draw(t, "load")
		got := NewTrace(Verhaeghe(), load, testSeconds, rapid.Uint64().Draw(t, "seed")).Load()
		if got < load*0.999 || got > load*1.001 {
			t.Fatalf("got %.3f, want %.3f", got, load)
		}
	})
}

func TestLightLoad(t *testing.T) {
	trace := NewTrace(Cordillera(), 0.1, 4*testSeconds, 1)
	r := Run(trace, scheduled(), Faults{})
	t.Run("nothing is refused", func(t *testing.T) { assertSame(t, "refused", float64(r.Refused()), 0) })
	t.Run("no engine is retried", func(t *testing.T) { assertSame(t, "retries", float64(r.Retries()), 0) })
	t.Run("no slower than full batches", func(t *testing.T) {
		if got, most := r.Latency(95), Ideal(trace).Latency(95); got > most {
			t.Errorf("got %s, want at most %s", got, most)
		}
	})
}

// An engine holds no more than its slots and its memory and loses no job.
func TestEngineKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEngine(0, func(string) {})
		sent, done := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "send") {
				p := &plan{id: rapid.StringMatching("[a-z]").Draw(t, "program"), turns: []turn{{prompt: rapid.IntRange(1, 100_000).Draw(t, "prompt"), completion: 10}}}
				e.waiting = append(e.waiting, &job{call: &call{run: &run{plan: p}}})
				sent++
			} else if wait, ok := e.next(); ok {
				e.advance(e.now + wait)
			}
			done += len(e.settle())
			if e.running() > engineSlots || e.pinned+e.cached > cacheTokens || e.pinned < 0 || e.cached < 0 {
				t.Fatalf("%d running, %d pinned, %d cached", e.running(), e.pinned, e.cached)
			}
		}
		if left := len(e.waiting) + e.running(); done+left != sent {
			t.Fatalf("%d sent, %d done, %d left", sent, done, left)
		}
	})
}

// Fair shares: beyond capacity the team that sends several times its rate
// gets no more than its share, although other teams pause between calls.
func TestGreedyTeamKeepsToItsShare(t *testing.T) {
	trace := NewTrace(Cordillera(), 1.3, 15*testSeconds, 1)
	got := Run(trace, scheduled(), Faults{}).service[greedyTeam] / fairShares(trace)[greedyTeam]
	if got > 1.1 {
		t.Errorf("got %.3f of its fair share", got)
	}
}
