package holder

import (
	"testing"
	"time"
)

func TestUnresponsiveHolderIsReplaced(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	// probe probes the holder every 900 ms; a probe that gets no response times
	// out after 400 ms.
	probe := func(responses ...bool) (replaced bool) {
		var o outage
		for i, responded := range responses {
			probedAt := start.Add(time.Duration(i) * 900 * time.Millisecond)
			replaced = o.update(responded, probedAt, probedAt.Add(400*time.Millisecond))
		}
		return replaced
	}
	for _, c := range []struct {
		name      string
		responses []bool
		want      bool
	}{
		{"shorter than the timeout", []bool{false, false, false}, false},
		{"for the timeout", []bool{false, false, false, false}, true},
		{"one response in between", []bool{false, false, true, false, false}, false},
		{"for the timeout after a response", []bool{false, true, false, false, false, false}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := probe(c.responses...); got != c.want {
				t.Errorf("holder is replaced: %v, want %v", got, c.want)
			}
		})
	}
}
