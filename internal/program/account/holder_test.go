package account_test

import (
	"context"
	"testing"

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
