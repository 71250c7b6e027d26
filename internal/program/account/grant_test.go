package account_test

import (
	"fmt"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/program/account"
)

// grantDelay is how long grants of slow networks are on their way.
const grantDelay = 30 * time.Millisecond

func TestGrantSizes(t *testing.T) {
	for _, c := range []struct {
		name         string
		budget, call uint64
		others       int
		want         uint64
	}{
		{"one of three calls stays at the home", 405, 135, 2, 135},
		{"two calls", 300, 132, 2, 84},
		{"no grants that do not cover a call together", 269, 135, 2, 0},
		{"half of many calls is granted", 4000, 100, 4, 500},
		{"no other holder", 4000, 100, 0, 0},
		{"equal parts where half is too little for two calls each", 1500, 100, 4, 300},
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

// Guards against calls that wait for tokens of other holders: a program of three calls, the
// most common size, that runs in one data centre has the tokens of each before it begins.
func TestSmallProgramWaitsForNoTransfer(t *testing.T) {
	f := newFleet(t, 1)
	f.budgets["program"] = 405
	for n := range 3 {
		call := fmt.Sprint(n)
		if !f.reserve("dc2", "program", call, 135) {
			t.Errorf("call %d is refused", n)
		}
		f.assertTransfers(t, n)
		f.settle("dc2", "program", call, 34)
		f.awaitTransfers(t, n+1)
	}
	f.assertWithinBudgets(t)
}

// Guards against tokens lost in transfers while a holder is slow: what it returns too late
// for one call counts for later ones.
func TestSmallProgramBesideSlowHolders(t *testing.T) {
	f := newFleet(t, 1)
	f.budgets["program"] = 405
	f.transferReplyDelay = lateReply
	granted := 0
	for end := time.Now().Add(arrivalTimeout); granted < 8 && time.Now().Before(end); {
		if call := fmt.Sprint(granted); f.reserve("dc2", "program", call, 135) {
			f.settle("dc2", "program", call, 34)
			granted++
		}
	}
	// 405 tokens are enough for eight calls that use 34 and may use 135.
	if granted != 8 {
		t.Errorf("%d calls are granted, want 8", granted)
	}
	f.assertWithinBudgets(t)
}

// Guards against the overload of incident SHORT: a holder without tokens of a program
// requested them from all others concurrently, although the home had all of them, or had
// just granted it the ones it lacked.
func TestTokensAreAskedOfTheHomeFirst(t *testing.T) {
	for _, c := range []struct {
		name                  string
		budget, first, second uint64
		// grantsSent is the number of grants that were sent before the second call.
		grantsSent int
	}{
		{name: "the home has all", budget: 269, first: 135, second: 134},
		{name: "the first grant is on its way", budget: 405, first: 135, second: 135, grantsSent: 1},
		{name: "the last grant is on its way", budget: 405, first: 135, second: 135, grantsSent: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.budgets["program"] = c.budget
			f.grantDelay = grantDelay
			if !f.reserve("dc2", "program", "first", c.first) {
				t.Error("a call within the budget is refused")
			}
			f.awaitCount(t, "grants", &f.grants, c.grantsSent)
			if !f.reserve("dc3", "program", "second", c.second) {
				t.Error("a call within the budget is refused")
			}
			f.assertWithinBudgets(t)
			f.assertTransfers(t, 1)
		})
	}
}

func (f *fleet) assertTransfers(t *testing.T, want int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transfers != want {
		t.Errorf("%d transfer requests to other holders, want %d", f.transfers, want)
	}
}

// awaitTransfers waits until a number of transfers have been requested.
func (f *fleet) awaitTransfers(t *testing.T, want int) {
	t.Helper()
	f.awaitCount(t, "transfers", &f.transfers, want)
}

// awaitCount waits until a counter of the fleet reaches a number.
func (f *fleet) awaitCount(t *testing.T, name string, counter *int, want int) {
	t.Helper()
	for end := time.Now().Add(arrivalTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		count := *counter
		f.mu.Unlock()
		if count >= want {
			return
		}
	}
	t.Fatalf("fewer than %d %s", want, name)
}
