package account_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/program/account"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
	"pgregory.net/rapid"
)

const (
	// lossBudget and lossCall are a budget for two calls and the most that a call may
	// generate, and lossUsed what each generates.
	lossBudget = 300
	lossCall   = 132
	lossUsed   = 30
	// recoverTimeout is the time in which holders list the programs.
	recoverTimeout = 5 * time.Second
)

// loseDisk replaces a holder's disk by an empty one; its successor lists the programs.
func (f *fleet) loseDisk(t *testing.T, dc string) {
	t.Helper()
	f.replaceDisk(t, dc)
	f.recover(t, dc)
}

// recover lets holders list the programs, within recoverTimeout together.
func (f *fleet) recover(t rapid.TB, dataCentres ...string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recoverTimeout)
	defer cancel()
	for _, dc := range dataCentres {
		f.holders[dc].Recover(ctx)
		if !f.holders[dc].Complete() {
			t.Fatalf("holder of %s does not recover", dc)
		}
	}
}

// replaceDisk restarts a holder with an empty disk.
func (f *fleet) replaceDisk(t rapid.TB, dc string) {
	t.Helper()
	f.stop(dc)
	if err := os.RemoveAll(filepath.Join(f.folder, dc)); err != nil {
		t.Fatal(err)
	}
	f.start(t, dc, false)
}

// call makes one call of the program as an entry VM does and settles it. It returns whether
// it was granted, and whether it was denied for good.
func (f *fleet) call(dc, id string) (granted, denied bool) {
	m := &vmpb.AccountReserve{Program: "program", Call: id, Budget: lossBudget, Tokens: lossCall}
	reply, err := f.holders[dc].Reserve(context.Background(), m)
	if err != nil || !reply.GetGranted() {
		return false, err == nil && !reply.GetUncertain()
	}
	_ = f.holders[dc].Settle(&vmpb.AccountSettle{Program: "program", Call: id, Used: lossUsed})
	return true, false
}

// callUntilDecided repeats a call that a holder can't decide on, as callers do, and returns
// whether it was granted.
func (f *fleet) callUntilDecided(dc, id string) bool {
	for end := time.Now().Add(arrivalTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if granted, denied := f.call(dc, id); granted || denied {
			return granted
		}
	}
	return false
}

// lossCases are ways in which the home of a program, at dc1, goes away.
func lossCases() map[string]func(t *testing.T, f *fleet) {
	return map[string]func(t *testing.T, f *fleet){
		"its disk is lost": func(t *testing.T, f *fleet) { f.loseDisk(t, "dc1") },
		"another VM takes its place": func(t *testing.T, f *fleet) {
			f.stop("dc1")
			successor := f.open(t, "dc1", "successor", false)
			if err := successor.BeginTakeover(); err != nil {
				t.Fatal(err)
			}
			f.withLock(func() { f.holders["dc1"] = successor })
			f.recover(t, "dc1")
		},
		"its disk is lost, and then that of the next holder": func(t *testing.T, f *fleet) {
			f.loseDisk(t, "dc1")
			f.loseDisk(t, "dc2")
		},
		"it restarts": func(t *testing.T, f *fleet) {
			f.stop("dc1")
			f.start(t, "dc1", false)
		},
	}
}

// Guards against review case 13: tokens that were lost with a disk count as spent, and the
// program is ended for good with nine tenths of its budget left.
func TestLostTokensAreNotSpent(t *testing.T) {
	for name, lose := range lossCases() {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			if granted, _ := f.call("dc1", "first"); !granted {
				t.Fatal("the first call is refused")
			}
			lose(t, f)
			for n, dc := range f.centres {
				if _, denied := f.call(dc, fmt.Sprintf("later%d", n)); denied {
					t.Errorf("the holder of %s says that the budget is spent", dc)
				}
			}
		})
	}
}

// Guards against review case 13: a program with most of its budget left can't go on, because
// its home has lost its disk or is away.
func TestProgramGoesOnWithoutItsHome(t *testing.T) {
	cases := lossCases()
	delete(cases, "its disk is lost, and then that of the next holder")
	cases["it is away"] = func(_ *testing.T, f *fleet) { f.stop("dc1") }
	cases["it is cut off"] = func(_ *testing.T, f *fleet) { f.withLock(func() { f.partitioned["dc1"] = true }) }
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			if granted, _ := f.call("dc1", "first"); !granted {
				t.Fatal("the first call is refused")
			}
			f.awaitTransfers(t, 1)
			lose(t, f)
			if granted, _ := f.call("dc2", "second"); !granted {
				t.Error("the second call is refused")
			}
		})
	}
}

// handOver lets a holder hand over its tokens.
func (f *fleet) handOver(dc string) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	f.holders[dc].HandOver(ctx)
}

// Guards against programs that can't go on after planned work: the tokens of a holder go with
// its disk, though it was asked to exit.
func TestPlannedExitHandsOver(t *testing.T) {
	for name, c := range map[string]struct {
		// prepare changes the fleet, and during happens while the holder exits.
		prepare func(f *fleet)
		during  func(f *fleet)
	}{
		"alone": {},
		"the other holders exit one after the other":  {during: func(f *fleet) { f.handOver("dc2") }},
		"another holder exits once it has been asked": {prepare: func(f *fleet) { f.declines = 1 }},
		"messages arrive twice and replies get lost":  {prepare: func(f *fleet) { f.lossy = true }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.budgets["program"] = lossBudget
			if granted, _ := f.call("dc1", "first"); !granted {
				t.Fatal("the first call is refused")
			}
			if c.prepare != nil {
				f.withLock(func() { c.prepare(f) })
			}
			f.handOver("dc1")
			f.withLock(func() { f.lossy = false })
			f.stop("dc1")
			if c.during != nil {
				c.during(f)
				f.stop("dc2")
			}
			used := lossUsed
			for n := 0; used+lossCall <= lossBudget; n++ {
				if !f.callUntilDecided("dc3", fmt.Sprint(n)) {
					break
				}
				used += lossUsed
			}
			if used+lossCall <= lossBudget {
				t.Errorf("the program stops with %d of %d tokens used", used, lossBudget)
			}
			for n := range 3 {
				if granted, _ := f.call("dc3", fmt.Sprint("over", n)); granted {
					t.Error("a call beyond the budget is granted")
				}
			}
		})
	}
}

// Guards against tokens that are handed over twice: by a message that arrives again, also
// after a restart of the receiver and a compaction.
func TestTokensAreHandedOverOnce(t *testing.T) {
	f := newFleet(t, 1)
	m := &vmpb.AccountHandOver{Id: "m1", Programs: []*vmpb.AccountOpened{{Program: "program", Budget: lossBudget, Home: "dc1/gone", Share: lossCall}}}
	for _, again := range []func(){
		func() {},
		func() {},
		func() {
			f.stop("dc2")
			f.compact(t, "dc2")
			f.start(t, "dc2", false)
		},
	} {
		again()
		if err := f.holders["dc2"].HandleHandOver(m); err != nil {
			t.Fatal(err)
		}
	}
	f.withLock(func() { f.partitioned = map[string]bool{"dc1": true, "dc3": true} })
	granted := 0
	for n := range 3 {
		if ok, _ := f.call("dc2", fmt.Sprint(n)); ok {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d calls are granted, want 1", granted)
	}
}

// Guards against a program that never ends because nobody is certain that its budget is
// spent, after calls at all holders, restarts and a compaction.
func TestSpentBudgetIsDenied(t *testing.T) {
	f := newFleet(t, 1)
	used := 0
	for n := 0; used+lossCall <= lossBudget; n++ {
		granted, denied := f.call(f.centres[n%3], fmt.Sprint(n))
		if denied || n > 20 {
			t.Fatalf("call %d is refused, %d of %d tokens are used", n, used, lossBudget)
		}
		if granted {
			used += lossUsed
		}
	}
	assertDenied := func(when string) {
		t.Helper()
		for _, dc := range f.centres {
			if _, denied := f.call(dc, when+dc); !denied {
				t.Errorf("%s: the holder of %s does not say that the budget is spent", when, dc)
			}
		}
	}
	assertDenied("spent")
	for _, dc := range f.centres {
		f.stop(dc)
		f.compact(t, dc)
		f.start(t, dc, false)
	}
	assertDenied("compacted")
}

// compact compacts the journal of a holder that does not run.
func (f *fleet) compact(t *testing.T, dc string) {
	t.Helper()
	b, now := account.NewBalances(), time.Now()
	journal, _, err := account.OpenJournal(filepath.Join(f.folder, dc), func(r *vmpb.AccountRecord) { b.Apply(r, now) })
	if err != nil {
		t.Fatal(err)
	}
	if err := journal.Compact(b.Records(now)); err != nil {
		t.Fatal(err)
	}
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
}
