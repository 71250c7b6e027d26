package forward

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func streamOf(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", n)
	}
	return b.String()
}

// The caller gets every event once and in order, however the stream is divided
// into reads, interrupted and resumed.
func TestSplitter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := rapid.IntRange(0, 30).Draw(t, "events")
		var s eventSplitter
		var out []byte
		first := 1
		for {
			stream := streamOf(first, last)
			length := len(stream)
			interrupted := rapid.IntRange(0, 3).Draw(t, "broken") == 0
			if interrupted {
				length = rapid.IntRange(0, length).Draw(t, "length")
			}
			for offset := 0; offset < length; {
				n := rapid.IntRange(1, length-offset).Draw(t, "read")
				out = s.add(out, []byte(stream[offset:offset+n]))
				offset += n
			}
			if !interrupted {
				break
			}
			s.resume()
			// The endpoint resumes after the last event or up to two events earlier.
			first = max(1, s.count+1-rapid.IntRange(0, 2).Draw(t, "repeated"))
		}
		if want := streamOf(1, last); string(out) != want {
			t.Fatalf("got %q, want %q", out, want)
		}
	})
}

func TestIDAfter(t *testing.T) {
	for _, c := range []struct {
		id, last string
		want     bool
	}{{"2", "1", true}, {"10", "9", true}, {"9", "10", false}, {"3", "3", false}} {
		if got := idAfter(c.id, c.last); got != c.want {
			t.Errorf("idAfter(%s, %s) is %t", c.id, c.last, got)
		}
	}
}
