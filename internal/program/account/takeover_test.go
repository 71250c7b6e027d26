package account_test

import (
	"fmt"
	"testing"

	"hawthornrail.example/hawthornrail/internal/program/account"
)

// assertNoneGranted checks that the holder of dc1 grants no call while it is cut off from
// the other holders.
func (f *fleet) assertNoneGranted(t *testing.T, call string) {
	t.Helper()
	f.withLock(func() { f.partitioned = map[string]bool{"dc2": true, "dc3": true} })
	for n := range 3 {
		if f.reserve("dc1", "program", fmt.Sprintf("%s%d", call, n), 60) {
			t.Errorf("%s: call %d is granted tokens of a budget that is spent", call, n)
		}
	}
	f.withLock(func() { f.partitioned = make(map[string]bool) })
}

// replaceHolder lists the programs at a successor of dc1's holder, spends a program's
// budget while the predecessor still has the role, and lets the successor take over.
func (f *fleet) replaceHolder(t *testing.T, folder string) *account.Holder {
	t.Helper()
	successor := f.open(t, "dc1", folder, false)
	successor.Recover(t.Context())
	if !successor.Complete() {
		t.Fatal("the successor has not listed the programs")
	}
	f.budgets["program"] = 420
	for n := range 7 {
		f.reserve("dc2", "program", fmt.Sprintf("%s-%d", folder, n), 60)
	}
	if err := successor.BeginTakeover(); err != nil {
		t.Fatal(err)
	}
	f.withLock(func() { f.holders["dc1"] = successor })
	return successor
}

// Guards against review case 1: a holder that has listed the programs beside its
// predecessor creates the budget anew of one that began before it took over.
func TestSuccessorCreatesNoBudgetAnew(t *testing.T) {
	f := newFleet(t, 1)
	successor := f.replaceHolder(t, "new")
	if successor.Complete() {
		t.Error("the successor counts as complete before it has listed the programs again")
	}
	f.assertNoneGranted(t, "before")
	successor.Recover(t.Context())
	if !successor.Complete() {
		t.Error("the successor is not complete after it has listed the programs again")
	}
	f.assertNoneGranted(t, "after")
	f.assertWithinBudgets(t)
}

// Guards against a successor that dies before it has listed the programs, and is complete
// by its journal when it starts again.
func TestSuccessorThatRestartsIsIncomplete(t *testing.T) {
	f := newFleet(t, 1)
	if err := f.replaceHolder(t, "new").Close(); err != nil {
		t.Fatal(err)
	}
	again := f.open(t, "dc1", "new", false)
	f.withLock(func() { f.holders["dc1"] = again })
	if again.Complete() {
		t.Error("the successor counts as complete after a restart")
	}
	f.assertNoneGranted(t, "restarted")
	again.Recover(t.Context())
	f.assertNoneGranted(t, "listed")
}

// Guards against two replacements in a row: the second successor listed the programs while
// the first holder had the role.
func TestTwoReplacements(t *testing.T) {
	f := newFleet(t, 1)
	second := f.open(t, "dc1", "second", false)
	second.Recover(t.Context())
	f.replaceHolder(t, "first").Recover(t.Context())
	if err := second.BeginTakeover(); err != nil {
		t.Fatal(err)
	}
	f.withLock(func() { f.holders["dc1"] = second })
	f.assertNoneGranted(t, "before")
	second.Recover(t.Context())
	f.assertNoneGranted(t, "after")
	f.assertWithinBudgets(t)
}

// Guards against a holder that counts as complete although another VM has its role.
func TestHolderWithoutRoleIsIncomplete(t *testing.T) {
	f := newFleet(t, 1)
	f.withLock(func() { f.roleLost["dc1"] = true })
	if f.holders["dc1"].Complete() {
		t.Error("the holder counts as complete")
	}
	f.budgets["program"] = 420
	if !f.reserve("dc2", "program", "call", 60) {
		t.Fatal("no call is granted")
	}
	if len(f.claims) != 1 {
		t.Errorf("%d claims at the platform, want one: not all holders are complete", len(f.claims))
	}
}
