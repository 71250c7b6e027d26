package checker_test

import (
	"strings"
	"testing"

	"hawthornrail.example/hawthornrail/internal/standin/checker"
	"hawthornrail.example/hawthornrail/internal/standin/engine"
)

// validHistory returns a history that violates no guarantee.
func validHistory() *checker.History {
	seen := "seen:" + engine.Digest([]engine.Message{{Role: "user", Content: "hello"}})
	h := &checker.History{CallLimit: 3, Executions: []checker.Execution{{"p/2"}, {"p/3"}}, Ended: []string{"q"}, InMemory: []string{"p"}}
	h.Add(checker.Attempt{Program: "p", Number: 1, Message: "hello", Complete: true, Verdict: checker.Ran, Text: seen})
	h.Add(checker.Attempt{Program: "p", Number: 2, ServiceCall: true, Complete: true, Verdict: checker.Ran, Text: "p/2"})
	h.Add(checker.Attempt{Program: "p", Number: 3, ServiceCall: true, Verdict: checker.NotRun})
	h.Add(checker.Attempt{Program: "p", Number: 3, ServiceCall: true})
	return h
}

// Guards against a check that never fails: each injected violation must be
// reported, and a valid history must pass.
func TestInjectedViolations(t *testing.T) {
	if reported := validHistory().Check(); len(reported) > 0 {
		t.Errorf("valid history: %v", reported)
	}
	violations := map[string]func(h *checker.History){
		"once":    func(h *checker.History) { h.Executions = append(h.Executions, checker.Execution{ID: "p/3"}) },
		"order":   func(h *checker.History) { h.Executions[0], h.Executions[1] = h.Executions[1], h.Executions[0] },
		"budget":  func(h *checker.History) { h.CallLimit = 1 },
		"memory":  func(h *checker.History) { h.InMemory = append(h.InMemory, "q") },
		"not run": func(h *checker.History) { h.Executions = append(h.Executions, checker.Execution{ID: "p/4"}) },
		"whole: order": func(h *checker.History) {
			h.Add(checker.Attempt{Program: "p", Number: 3, ServiceCall: true, Complete: true, Verdict: checker.Ran, Text: "p/2"})
		},
		"whole: call": func(h *checker.History) {
			h.Add(checker.Attempt{Program: "p", Number: 4, Message: "more", Complete: true, Verdict: checker.Ran, Text: "seen:other"})
		},
	}
	for kind, inject := range violations {
		t.Run(kind, func(t *testing.T) {
			h := validHistory()
			h.Add(checker.Attempt{Program: "p", Number: 4, ServiceCall: true, Verdict: checker.NotRun})
			inject(h)
			if reported := strings.Join(h.Check(), "\n"); !strings.Contains(reported, kind) {
				t.Errorf("got %q", reported)
			}
		})
	}
}
