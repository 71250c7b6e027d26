package version_test

import (
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/version"
)

const window = 6 * time.Second

var start = time.Unix(1_800_000_000, 0)

func endpointsOf(versions ...string) []hawthornrail.Endpoint {
	var list []hawthornrail.Endpoint
	for _, v := range versions {
		list = append(list, hawthornrail.NewEndpoint("e-"+v, hawthornrail.EngineEndpoint, "dc1", "", []string{"engine"}).WithVersion(v))
	}
	return list
}

func assertSole(t *testing.T, h *version.History, now time.Time, want string) {
	t.Helper()
	got, ok := h.Sole("engine", window, now)
	if ok != (want != "") || got != want {
		t.Errorf("after %v the sole version is %q (%t), want %q", now.Sub(start), got, ok, want)
	}
}

// Guards against a stream that goes on at the version that serves now, although
// another one served when it began.
func TestSole(t *testing.T) {
	h := version.NewHistory()
	h.Observe(nil, start.Add(-time.Hour))
	h.Observe(endpointsOf("v1"), start)
	assertSole(t, h, start.Add(window-time.Second), "")
	assertSole(t, h, start.Add(window), "v1")
	h.Observe(endpointsOf("v1", "v2"), start.Add(20*time.Second))
	assertSole(t, h, start.Add(21*time.Second), "")
	h.Observe(endpointsOf("v2"), start.Add(30*time.Second))
	assertSole(t, h, start.Add(30*time.Second+window), "")
	assertSole(t, h, start.Add(31*time.Second+window), "v2")
}

func TestRecent(t *testing.T) {
	h := version.NewHistory()
	h.Observe(endpointsOf("v1", "v2"), start)
	h.Observe(endpointsOf("v2"), start.Add(time.Second))
	if got := h.Recent("engine", window, start.Add(2*time.Second)); got != 2 {
		t.Errorf("%d versions, want 2", got)
	}
	if got := h.Recent("engine", window, start.Add(time.Minute)); got != 1 {
		t.Errorf("%d versions a minute later, want 1", got)
	}
	if got := h.Recent("other", window, start); got != 0 {
		t.Errorf("%d versions of an unknown service", got)
	}
}
