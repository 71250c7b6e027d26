package checker_test

import (
	"strings"
	"testing"

	"hawthornrail.example/hawthornrail/internal/standin/checker"
	"hawthornrail.example/hawthornrail/internal/standin/engine"
)

// sound returns a history without a fault.
func sound() *checker.History {
	seen := "seen:" + engine.Digest([]engine.Message{{Role: "user", Content: "hello"}})
	h := &checker.History{Calls: 3, Executions: []checker.Execution{{"p/2"}, {"p/3"}}, Ended: []string{"q"}, Held: []string{"p"}}
	h.Add(checker.Attempt{Program: "p", Number: 1, Message: "hello", Whole: true, Verdict: checker.Ran, Text: seen})
	h.Add(checker.Attempt{Program: "p", Number: 2, Order: true, Whole: true, Verdict: checker.Ran, Text: "p/2"})
	h.Add(checker.Attempt{Program: "p", Number: 3, Order: true, Verdict: checker.NotRun})
	h.Add(checker.Attempt{Program: "p", Number: 3, Order: true})
	return h
}

// The checker finds each planted fault and none in a sound history.
func TestPlantedFaults(t *testing.T) {
	if broken := sound().Check(); len(broken) > 0 {
		t.Errorf("sound history: %v", broken)
	}
	faults := map[string]func(h *checker.History){
		"once":    func(h *checker.History) { h.Executions = append(h.Executions, checker.Execution{ID: "p/3"}) },
		"order":   func(h *checker.History) { h.Executions[0], h.Executions[1] = h.Executions[1], h.Executions[0] },
		"budget":  func(h *checker.History) { h.Calls = 1 },
		"memory":  func(h *checker.History) { h.Held = append(h.Held, "q") },
		"not run": func(h *checker.History) { h.Executions = append(h.Executions, checker.Execution{ID: "p/4"}) },
		"whole: order": func(h *checker.History) {
			h.Add(checker.Attempt{Program: "p", Number: 3, Order: true, Whole: true, Verdict: checker.Ran, Text: "p/2"})
		},
		"whole: call": func(h *checker.History) {
			h.Add(checker.Attempt{Program: "p", Number: 4, Message: "more", Whole: true, Verdict: checker.Ran, Text: "seen:other"})
		},
	}
	for kind, plant := range faults {
		t.Run(kind, func(t *testing.T) {
			h := sound()
			h.Add(checker.Attempt{Program: "p", Number: 4, Order: true, Verdict: checker.NotRun})
			plant(h)
			if broken := strings.Join(h.Check(), "\n"); !strings.Contains(broken, kind) {
				t.Errorf("got %q", broken)
			}
		})
	}
}
