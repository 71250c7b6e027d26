package bench

import "testing"

func TestSummary(t *testing.T) {
	assertMet := func(t *testing.T, s summary, want bool) {
		t.Helper()
		if got := s.met(); got != want {
			t.Errorf("%s: met is %t, want %t", s, got, want)
		}
	}
	good := summary{latency: 0.5, wasted: 0.3, worst: 0.9}
	t.Run("all targets met", func(t *testing.T) { assertMet(t, good, true) })
	t.Run("latency short", func(t *testing.T) { assertMet(t, summary{0.51, 0.3, 0.9, 0}, false) })
	t.Run("waste short", func(t *testing.T) { assertMet(t, summary{0.5, 0.34, 0.9, 0}, false) })
	t.Run("worst team short", func(t *testing.T) { assertMet(t, summary{0.5, 0.3, 0.89, 0}, false) })
	t.Run("refusal within rate", func(t *testing.T) { assertMet(t, summary{0.5, 0.3, 0.9, 1}, false) })
	t.Run("line as documented", func(t *testing.T) {
		const want = "bench: p95_ratio=0.500 wasted_ratio=0.300 worst_team=0.900 refused_within_rate=0"
		if got := good.String(); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	})
}
