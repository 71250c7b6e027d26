package account_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/program/account"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

func assertReserveReply(t *testing.T, h *account.Holder, call string, granted, uncertain bool) {
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

// Guards against a false refusal: a holder may report a budget as spent only if
// the budget has been assigned to a home.
func TestReserveUncertainUntilBudgetAssigned(t *testing.T) {
	t.Run("home is announced but has not opened the account", func(t *testing.T) {
		f := newFleet(t, 1)
		m := &vmpb.AccountAnnounce{Program: "program", Budget: 400, Home: "journal of dc3"}
		if _, err := f.holders["dc1"].HandleAnnounce(m); err != nil {
			t.Fatal(err)
		}
		assertReserveReply(t, f.holders["dc1"], "call", false, true)
	})
	t.Run("budget is spent", func(t *testing.T) {
		f := newFleet(t, 1)
		for _, call := range []string{"a", "b", "c"} {
			assertReserveReply(t, f.holders["dc1"], call, true, false)
		}
		assertReserveReply(t, f.holders["dc1"], "d", false, false)
	})
}

// Guards against exceeding a budget after a partition: two isolated holders give
// a program their shares, and the later home must deduct both from the budget.
func TestIsolatedSharesCountAgainstBudget(t *testing.T) {
	f := newFleet(t, 1)
	f.withLock(func() { f.partitioned, f.platformDown = map[string]bool{"dc1": true, "dc2": true, "dc3": true}, true })
	f.budgets["program"] = 900
	used := 0
	reserveThrough := func(through ...string) {
		for n := range 20 {
			for _, dc := range through {
				if f.reserve(dc, "program", fmt.Sprintf("%s%d-%d", dc, used, n), 100) {
					used++
				}
			}
		}
	}
	reserveThrough("dc1", "dc2")
	if used != 6 {
		t.Errorf("%d calls granted by isolated holders, want 3 at each", used)
	}
	f.withLock(func() { f.partitioned, f.platformDown = make(map[string]bool), false })
	// A suspected holder is contacted again only once it has replied to probes.
	for end := time.Now().Add(5 * time.Second); used < 9 && time.Now().Before(end); {
		f.joinAll()
		reserveThrough("dc1", "dc2", "dc3")
	}
	f.assertWithinBudgets(t)
	if used != 9 {
		t.Errorf("%d calls granted in all, want 9", used)
	}
}
