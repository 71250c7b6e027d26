package account_test

import (
	"fmt"
	"testing"

	"hawthornrail.example/hawthornrail/internal/program/account"
)

func TestParts(t *testing.T) {
	for _, c := range []struct {
		name         string
		budget, call uint64
		others       int
		want         uint64
	}{
		{"three calls stay at home", 405, 135, 4, 0},
		{"half of many calls is given away", 4000, 100, 4, 500},
		{"no other holder", 4000, 100, 0, 0},
		{"parts too small for two calls", 1500, 100, 4, 0},
		{"call of unknown size", 80, 0, 4, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			parts := account.Parts(c.budget, c.call, c.others)
			if len(parts) != c.others {
				t.Fatalf("%d parts, want %d", len(parts), c.others)
			}
			for _, part := range parts {
				if part != c.want {
					t.Errorf("part of %d tokens, want %d", part, c.want)
				}
			}
		})
	}
}

// A program of three calls, the most common size, runs in one data centre: no
// token of it travels, so none is lost on its way while a holder is slow.
func TestSmallProgramsStayAtHome(t *testing.T) {
	f := newFleet(t, 1)
	f.budgets["program"] = 405
	for call := range 3 {
		if !f.reserve("dc2", "program", fmt.Sprint(call), 135) {
			t.Errorf("call %d is refused", call)
		}
	}
	f.assertWithinBudgets(t)
	f.assertTransfers(t, 0)
}

// Guards against the overload of incident SHORT: a holder without tokens of a
// program asked all others for them at once, though its home had them all.
func TestTokensAreAskedOfTheHomeFirst(t *testing.T) {
	f := newFleet(t, 1)
	f.budgets["program"] = 405
	if !f.reserve("dc2", "program", "first", 135) || !f.reserve("dc3", "program", "second", 135) {
		t.Error("a call within the budget is refused")
	}
	f.assertWithinBudgets(t)
	f.assertTransfers(t, 1)
}

func (f *fleet) assertTransfers(t *testing.T, want int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transfers != want {
		t.Errorf("%d asks for tokens of other holders, want %d", f.transfers, want)
	}
}
