package home

import (
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
)

func assertApply(t *testing.T, tree *ledger.Tree, change hawthornrail.Change) {
	t.Helper()
	if err := tree.Apply(tree.Next(change)); err != nil {
		t.Fatal(err)
	}
}

// The history contains the messages and replies only of calls that kept their
// messages.
func TestJoinHistory(t *testing.T) {
	id := hawthornrail.NewProgramID(hawthornrail.NewInstance("vm1", "dc1", 1), 1, "team", []byte("secret"))
	tree := ledger.NewTree(id)
	assertApply(t, tree, hawthornrail.NewCreateTree("team", "deployment", hawthornrail.NewBudget(9, 900, time.Hour, 0, 0), time.Unix(0, 0)))
	kept := []string{`["question 1"]`, "", `["question 3"]`}
	for i, messages := range kept {
		number := uint64(i + 1)
		intent := hawthornrail.NewIntent(0, number, nil, "engine", true, 1)
		if messages != "" {
			intent = intent.WithMessages([]byte(messages))
		}
		assertApply(t, tree, intent)
		assertApply(t, tree, hawthornrail.NewResponseOutcome(0, number, 200, "text", nil).WithMessage([]byte(`"reply"`)))
	}
	joined, err := joinHistory(tree.Programs()[0], 4, []byte(`["question 4"]`))
	if err != nil {
		t.Fatal(err)
	}
	if want := `["question 1","reply","question 3","reply","question 4"]`; string(joined) != want {
		t.Errorf("got %s, want %s", joined, want)
	}
}
