package account_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/program/account"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

func assertReply(t *testing.T, h *account.Holder, call string, granted, uncertain bool) {
	t.Helper()
	m := &vmpb.AccountReserve{Program: "program", Call: call, Budget: 400, Tokens: 132}
	reply, err := h.Reserve(context.Background(), m)
	if err != nil {
		t.Fatal(err)
	}
	if reply.GetGranted() != granted || reply.GetUncertain() != uncertain {
		t.Errorf("granted %t uncertain %t, want %t %t", reply.GetGranted(), reply.GetUncertain(), granted, uncertain)
	}
}

// A budget is only said to be spent by holders that know where it is.
func TestBudgetOfUnsettledProgram(t *testing.T) {
	t.Run("home has announced but not got the budget", func(t *testing.T) {
		f := newFleet(t, 1)
		m := &vmpb.AccountAnnounce{Program: "program", Budget: 400, Home: "journal of dc3"}
		if _, err := f.holders["dc1"].Announced(m); err != nil {
			t.Fatal(err)
		}
		assertReply(t, f.holders["dc1"], "call", false, true)
	})
	t.Run("budget is spent", func(t *testing.T) {
		f := newFleet(t, 1)
		for _, call := range []string{"a", "b", "c"} {
			assertReply(t, f.holders["dc1"], call, true, false)
		}
		assertReply(t, f.holders["dc1"], "d", false, false)
	})
}

// Two holders that were alone gave a program their shares; whoever becomes its
// home later leaves both out of the rest.
func TestIsolatedShares(t *testing.T) {
	f := newFleet(t, 1)
	f.flip(func() { f.cut, f.storeCut = map[string]bool{"dc1": true, "dc2": true, "dc3": true}, true })
	f.budgets["program"] = 900
	used := 0
	spend := func(through ...string) {
		for n := range 20 {
			for _, dc := range through {
				if f.reserve(dc, "program", fmt.Sprintf("%s%d-%d", dc, used, n), 100) {
					used++
				}
			}
		}
	}
	spend("dc1", "dc2")
	if used != 6 {
		t.Errorf("%d calls granted by holders alone, want 3 at each", used)
	}
	f.flip(func() { f.cut, f.storeCut = make(map[string]bool), false })
	// A holder that did not answer is asked again after a moment.
	for end := time.Now().Add(5 * time.Second); used < 9 && time.Now().Before(end); {
		f.join()
		spend("dc1", "dc2", "dc3")
	}
	f.assertWithinBudgets(t)
	if used != 9 {
		t.Errorf("%d calls granted in all, want 9", used)
	}
}
