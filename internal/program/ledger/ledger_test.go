package ledger_test

import (
	"errors"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func newTree(t interface{ Fatal(...any) }, budget hawthornrail.Budget) *ledger.Tree {
	id := hawthornrail.NewProgramID(hawthornrail.NewInstance("vm1", "dc1", 1), 1, "team", []byte("secret"))
	tree := ledger.NewTree(id)
	if err := tree.Apply(tree.Next(hawthornrail.NewCreateTree("team", "deployment", budget, start))); err != nil {
		t.Fatal(err)
	}
	return tree
}

func assertApply(t *testing.T, tree *ledger.Tree, change hawthornrail.Change, want error) {
	t.Helper()
	if err := tree.Apply(tree.Next(change)); !errors.Is(err, want) {
		t.Errorf("%T: got %v, want %v", change, err, want)
	}
}

func TestCallOrder(t *testing.T) {
	budget := hawthornrail.NewBudget(10, 1000, time.Hour, 1, 1)
	intent := func(n uint64, idempotent bool) hawthornrail.Change {
		return hawthornrail.NewIntent(0, n, []byte("digest"), "endpoint", idempotent, 10)
	}
	outcome := func(n uint64, v hawthornrail.Verdict) hawthornrail.Change {
		return hawthornrail.NewOutcome(0, n, v, hawthornrail.CodeEndpointFailed)
	}
	t.Run("gap is refused", func(t *testing.T) {
		assertApply(t, newTree(t, budget), intent(2, false), ledger.ErrCallOrder)
	})
	t.Run("pending call is not intended twice", func(t *testing.T) {
		tree := newTree(t, budget)
		assertApply(t, tree, intent(1, true), nil)
		assertApply(t, tree, intent(1, true), ledger.ErrCallState)
	})
	t.Run("non-idempotent call that may have run is not intended again", func(t *testing.T) {
		tree := newTree(t, budget)
		assertApply(t, tree, intent(1, false), nil)
		assertApply(t, tree, outcome(1, hawthornrail.VerdictMayHaveRun), nil)
		assertApply(t, tree, intent(1, false), ledger.ErrCallOrder)
	})
	t.Run("call that did not run is intended again", func(t *testing.T) {
		tree := newTree(t, budget)
		assertApply(t, tree, intent(1, false), nil)
		assertApply(t, tree, outcome(1, hawthornrail.VerdictNotRun), nil)
		assertApply(t, tree, intent(1, false), nil)
	})
	t.Run("last call ends the program", func(t *testing.T) {
		tree := newTree(t, budget)
		assertApply(t, tree, intent(1, false), nil)
		last := hawthornrail.NewResponseOutcome(0, 1, 200, "text", nil).WithEnd("completed")
		assertApply(t, tree, last, nil)
		assertApply(t, tree, intent(2, false), ledger.ErrEnded)
		if got := tree.Programs()[0].Ended(); got != "completed" {
			t.Errorf("ended by %q, want completed", got)
		}
	})
	t.Run("step out of sequence is refused", func(t *testing.T) {
		tree := newTree(t, budget)
		step := hawthornrail.NewStep(tree.ID(), 5, intent(1, false))
		if err := tree.Apply(step); !errors.Is(err, ledger.ErrSequence) {
			t.Errorf("got %v, want %v", err, ledger.ErrSequence)
		}
	})
}

// A program and its sub-agents together never exceed the program's budget.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := hawthornrail.NewBudget(20, 500, time.Hour, 3, 5)
		tree := newTree(t, budget)
		var calls, tokens uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			change := drawChange(t, tree)
			if tree.Apply(tree.Next(change)) != nil {
				continue
			}
			if o, ok := change.(hawthornrail.Outcome); ok && o.Verdict() == hawthornrail.VerdictRan {
				calls++
				tokens += min(o.UsedTokens(), reserved(tree, o))
			}
			if calls > budget.Calls() || tokens > budget.Tokens() {
				t.Fatalf("used %d calls and %d tokens", calls, tokens)
			}
			if len(tree.Programs())-1 > int(budget.Children()) {
				t.Fatalf("%d sub-agents", len(tree.Programs())-1)
			}
		}
	})
}

func reserved(tree *ledger.Tree, o hawthornrail.Outcome) uint64 {
	return tree.Programs()[o.Program()].Call(o.Number()).Intent().ReservedTokens()
}

func drawChange(t *rapid.T, tree *ledger.Tree) hawthornrail.Change {
	index := uint32(rapid.IntRange(0, len(tree.Programs())-1).Draw(t, "program"))
	p := tree.Programs()[index]
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		b := hawthornrail.NewBudget(
			rapid.Uint64Range(0, 10).Draw(t, "calls"), rapid.Uint64Range(0, 200).Draw(t, "tokens"), time.Minute,
			uint32(rapid.IntRange(0, 2).Draw(t, "depth")), uint32(rapid.IntRange(0, 3).Draw(t, "children")),
		)
		return hawthornrail.NewCreateChild(index, b, start)
	case 1:
		number := p.NextCall() + uint64(rapid.IntRange(0, 1).Draw(t, "gap"))
		return hawthornrail.NewIntent(index, number, []byte("d"), "e", rapid.Bool().Draw(t, "idempotent"), rapid.Uint64Range(0, 200).Draw(t, "reserve"))
	case 2:
		if rapid.Bool().Draw(t, "ran") {
			return hawthornrail.NewResponseOutcome(index, p.NextCall(), 200, "text", nil).WithUsedTokens(rapid.Uint64Range(0, 400).Draw(t, "used"))
		}
		v := rapid.SampledFrom([]hawthornrail.Verdict{hawthornrail.VerdictNotRun, hawthornrail.VerdictMayHaveRun}).Draw(t, "verdict")
		return hawthornrail.NewOutcome(index, p.NextCall(), v, hawthornrail.CodeEndpointFailed)
	default:
		return hawthornrail.NewEnd(index, "ended")
	}
}
