package account_test

import (
	"fmt"
	"testing"

	"hawthornrail.example/hawthornrail/internal/program/account"
)

func TestGrantSizes(t *testing.T) {
	for _, c := range []struct {
		name         string
		budget, call uint64
		others       int
		want         uint64
	}{
		{"no grants for three calls", 405, 135, 4, 0},
		{"half of many calls is granted", 4000, 100, 4, 500},
		{"no other holder", 4000, 100, 0, 0},
		{"grants too small for two calls", 1500, 100, 4, 0},
		{"call of unknown size", 80, 0, 4, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			grants := account.GrantSizes(c.budget, c.call, c.others)
			if len(grants) != c.others {
				t.Fatalf("%d grants, want %d", len(grants), c.others)
			}
			for _, grant := range grants {
				if grant != c.want {
					t.Errorf("grant of %d tokens, want %d", grant, c.want)
				}
			}
		})
	}
}

// Guards against tokens lost in transfers while a holder is slow: a program of
// three calls, the most common size, that runs in one data centre needs none.
func TestSmallProgramNeedsNoTransfer(t *testing.T) {
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
// program requested them from all others concurrently, although the home had all
// of them.
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
		t.Errorf("%d transfer requests to other holders, want %d", f.transfers, want)
	}
}
