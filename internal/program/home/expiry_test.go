package home_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
)

// releases reports the same release state for every program and endpoint.
type releases bool

// Released returns the fixed release state.
func (r releases) Released(string, string) bool { return bool(r) }

func TestForget(t *testing.T) {
	s := &meteredEngine{clock: clockwork.NewFakeClock(), generate: 1}
	h := s.home("vm1")
	budget := hawthornrail.NewBudget(12, 400, time.Hour, 0, 0)
	id, err := h.Create(context.Background(), "team", "deployment", budget)
	if err != nil {
		t.Fatal(err)
	}
	s.usages = []*programUsage{{id: id, budget: budget, created: s.clock.Now()}}
	if err := s.call(h, 0, 1); err != nil {
		t.Fatal(err)
	}
	assertForgets := func(t *testing.T, r releases, want int) {
		t.Helper()
		if got := h.RemoveExpired(r); got != want {
			t.Errorf("removed %d trees, want %d", got, want)
		}
	}
	t.Run("live program is kept", func(t *testing.T) {
		s.clock.Advance(2 * ledger.Retention)
		assertForgets(t, true, 0)
	})
	t.Run("ended program is kept for the retention", func(t *testing.T) {
		if err := h.End(context.Background(), id, "done"); err != nil {
			t.Fatal(err)
		}
		assertForgets(t, true, 0)
		s.clock.Advance(ledger.Retention - time.Second)
		assertForgets(t, true, 0)
	})
	t.Run("program whose memory is held is kept", func(t *testing.T) {
		s.clock.Advance(time.Second)
		assertForgets(t, false, 0)
	})
	t.Run("program is removed, and its calls may have run", func(t *testing.T) {
		assertForgets(t, true, 1)
		err := s.call(h, 0, 1)
		if f := hawthornrail.AsFailure(err); f.Code() != hawthornrail.CodeUnknownProgram || f.Verdict() != hawthornrail.VerdictMayHaveRun {
			t.Errorf("got %v, %s", err, f.Verdict())
		}
	})
}
