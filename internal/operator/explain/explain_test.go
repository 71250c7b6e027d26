package explain_test

import (
	"errors"
	"strings"
	"testing"

	"hawthornrail.example/hawthornrail/internal/operator/explain"
)

const (
	first = `  18.0 vm1 {"level":"info","vm":"vm1","request":"r1","event":2101,"program":"p1","time":"2026-04-09T19:05:49Z","message":"request arrived"}
not a log line
{"level":"warn","vm":"vm1","request":"r1","event":2109,"verdict":"may_have_run","time":"2026-04-09T19:05:51Z","message":"request failed"}
`
	second = `{"level":"info","vm":"vm2","request":"r2","event":2101,"program":"p1","time":"2026-04-09T19:05:52Z","message":"request arrived"}
{"level":"info","vm":"vm2","request":"r3","event":2101,"program":"p2","time":"2026-04-09T19:05:50Z","message":"request arrived"}
{broken
`
)

func assertChain(t *testing.T, id string, want ...string) {
	t.Helper()
	lines, err := explain.Lines(strings.NewReader(second), strings.NewReader(first))
	if err != nil {
		t.Fatal(err)
	}
	chain, err := explain.Chain(lines, id)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := explain.Write(&out, chain); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); got != strings.Join(want, "\n")+"\n" {
		t.Errorf("got\n%swant\n%s", got, strings.Join(want, "\n"))
	}
}

func TestChain(t *testing.T) {
	const (
		arrived = "2026-04-09T19:05:49Z vm1 r1 2101 request arrived: program=p1"
		failed  = "2026-04-09T19:05:51Z vm1 r1 2109 request failed: verdict=may_have_run"
		again   = "2026-04-09T19:05:52Z vm2 r2 2101 request arrived: program=p1"
	)
	t.Run("of a request", func(t *testing.T) { assertChain(t, "r1", arrived, failed) })
	t.Run("of a program over VMs", func(t *testing.T) { assertChain(t, "p1", arrived, failed, again) })
	t.Run("of nothing known", func(t *testing.T) {
		if _, err := explain.Chain(nil, "r9"); !errors.Is(err, explain.ErrNotFound) {
			t.Errorf("error %v", err)
		}
	})
}
