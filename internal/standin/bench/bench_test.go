package bench

import "testing"

func TestSummary(t *testing.T) {
	assertMeetsTargets := func(t *testing.T, s summary, want bool) {
		t.Helper()
		if got := s.meetsTargets(); got != want {
			t.Errorf("%s: meets targets is %t, want %t", s, got, want)
		}
	}
	passing := summary{latency: 0.5, wasted: 0.3, worstTeam: 0.9}
	t.Run("all targets met", func(t *testing.T) { assertMeetsTargets(t, passing, true) })
	t.Run("latency ratio above target", func(t *testing.T) { assertMeetsTargets(t, summary{0.51, 0.3, 0.9, 0}, false) })
	t.Run("wasted ratio above target", func(t *testing.T) { assertMeetsTargets(t, summary{0.5, 0.34, 0.9, 0}, false) })
	t.Run("worst team below target", func(t *testing.T) { assertMeetsTargets(t, summary{0.5, 0.3, 0.89, 0}, false) })
	t.Run("call within rate refused", func(t *testing.T) { assertMeetsTargets(t, summary{0.5, 0.3, 0.9, 1}, false) })
	t.Run("summary line has documented format", func(t *testing.T) {
		const want = "bench: p95_ratio=0.500 wasted_ratio=0.300 worst_team=0.900 refused_within_rate=0"
		if got := passing.String(); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	})
}
