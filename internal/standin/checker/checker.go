package checker

import (
	"fmt"
	"sort"
	"strings"
	"sync"

	"hawthornrail.example/hawthornrail/internal/standin/engine"
)

// Values of the verdict in a response.
const (
	NotRun = "not_run"
	Ran    = "ran"
)

// Attempt is one request of a call and its response. A call may have several
// attempts.
type Attempt struct {
	Program string
	Number  int
	// ServiceCall is set for a call of a service, which must not run twice;
	// other calls are model calls with one user message.
	ServiceCall bool
	Message     string
	// Complete is set if the caller received a complete response.
	Complete bool
	Verdict  string
	Text     string
}

// ID returns the request id that endpoints see.
func (a Attempt) ID() string { return fmt.Sprintf("%s/%d", a.Program, a.Number) }

// Execution is one request that a service executed.
type Execution struct {
	ID string
}

// History records the attempts and the executions of a run.
type History struct {
	mu       sync.Mutex
	attempts []Attempt

	// Executions are those of all services, in order of arrival.
	Executions []Execution
	// CallLimit is the number of calls in a program's budget; 0 means no limit.
	CallLimit int
	// Ended are the programs that were ended, InMemory those that engines still
	// hold memory for at the end of the run.
	Ended, InMemory []string
}

// Add records an attempt.
func (h *History) Add(a Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a)
}

// Attempts returns the recorded attempts.
func (h *History) Attempts() []Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Attempt{}, h.attempts...)
}

// Check returns a description of each violated guarantee.
func (h *History) Check() []string {
	runs := make(map[string]int)
	for _, e := range h.Executions {
		runs[e.ID]++
	}
	var violations []string
	violations = append(violations, h.checkOnce(runs)...)
	violations = append(violations, h.checkNotRun(runs)...)
	violations = append(violations, h.checkResponses(runs)...)
	violations = append(violations, h.checkOrder()...)
	violations = append(violations, h.checkBudget(runs)...)
	return append(violations, h.checkMemory()...)
}

func (h *History) checkOnce(runs map[string]int) (violations []string) {
	for id, n := range runs {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("once: %s ran %d times", id, n))
		}
	}
	return violations
}

// checkNotRun finds service calls that ran although every attempt returned
// not_run.
func (h *History) checkNotRun(runs map[string]int) (violations []string) {
	mayHaveRun := make(map[string]bool)
	for _, a := range h.Attempts() {
		if a.Verdict != NotRun {
			mayHaveRun[a.ID()] = true
		}
	}
	for _, a := range h.Attempts() {
		if a.ServiceCall && !mayHaveRun[a.ID()] && runs[a.ID()] > 0 {
			violations = append(violations, fmt.Sprintf("not run: %s ran", a.ID()))
		}
	}
	return violations
}

// checkResponses compares each complete response with its request. The response
// to a service call contains the request id; the response to a model call starts
// with the digest of the program's history up to and including that call. All
// complete responses to one call must be equal.
func (h *History) checkResponses(runs map[string]int) (violations []string) {
	histories := h.histories()
	lastText := make(map[string]string)
	for _, a := range h.Attempts() {
		if !a.Complete {
			continue
		}
		if previous, ok := lastText[a.ID()]; ok && previous != a.Text {
			violations = append(violations, fmt.Sprintf("whole: %s got %q and then %q", a.ID(), previous, a.Text))
		}
		lastText[a.ID()] = a.Text
		if a.ServiceCall && (runs[a.ID()] == 0 || !strings.Contains(a.Text, a.ID())) {
			violations = append(violations, fmt.Sprintf("whole: order %s got %q", a.ID(), a.Text))
		}
		wantPrefix := "seen:" + engine.Digest(histories[a.ID()])
		if !a.ServiceCall && !strings.HasPrefix(a.Text, wantPrefix) {
			violations = append(violations, fmt.Sprintf("whole: call %s got %q, want %s", a.ID(), a.Text, wantPrefix))
		}
	}
	return violations
}

// histories returns the messages that the engine should have received with each
// model call: those of the program's earlier calls with a complete response, and
// its own.
func (h *History) histories() map[string][]engine.Message {
	completed := make(map[string]Attempt)
	var calls []Attempt
	for _, a := range h.Attempts() {
		if _, ok := completed[a.ID()]; !a.ServiceCall && a.Complete && !ok {
			completed[a.ID()] = a
			calls = append(calls, a)
		}
	}
	sort.Slice(calls, func(i, j int) bool { return calls[i].Number < calls[j].Number })
	programs := make(map[string][]engine.Message)
	histories := make(map[string][]engine.Message)
	for _, a := range calls {
		programs[a.Program] = append(programs[a.Program], engine.Message{Role: "user", Content: a.Message})
		histories[a.ID()] = append([]engine.Message{}, programs[a.Program]...)
		programs[a.Program] = append(programs[a.Program], engine.Message{Role: "assistant", Content: a.Text})
	}
	return histories
}

// checkOrder finds service calls that arrived after a later call of their
// program.
func (h *History) checkOrder() (violations []string) {
	last := make(map[string]int)
	for _, e := range h.Executions {
		program, number := splitID(e.ID)
		if number < last[program] {
			violations = append(violations, fmt.Sprintf("order: %s ran after call %d", e.ID, last[program]))
		}
		last[program] = max(last[program], number)
	}
	return violations
}

func (h *History) checkBudget(runs map[string]int) (violations []string) {
	calls := make(map[string]int)
	for id, n := range runs {
		program, _ := splitID(id)
		calls[program] += n
	}
	for program, n := range calls {
		if h.CallLimit > 0 && n > h.CallLimit {
			violations = append(violations, fmt.Sprintf("budget: %s made %d calls of %d", program, n, h.CallLimit))
		}
	}
	return violations
}

func (h *History) checkMemory() (violations []string) {
	for _, inMemory := range h.InMemory {
		for _, ended := range h.Ended {
			if inMemory == ended {
				violations = append(violations, fmt.Sprintf("memory: still held for %s", inMemory))
			}
		}
	}
	return violations
}

func splitID(id string) (program string, number int) {
	program, numberText, _ := strings.Cut(id, "/")
	_, _ = fmt.Sscanf(numberText, "%d", &number)
	return program, number
}
