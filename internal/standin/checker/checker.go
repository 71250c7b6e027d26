package checker

import (
	"fmt"
	"sort"
	"strings"
	"sync"

	"hawthornrail.example/hawthornrail/internal/standin/engine"
)

// Verdicts as they stand in answers.
const (
	NotRun = "not_run"
	Ran    = "ran"
)

// Attempt is one request of a call with what its caller got.
type Attempt struct {
	Program string
	Number  int
	// Order is set for a service call; other calls are model calls with one
	// user message.
	Order   bool
	Message string
	// Whole is set when a whole answer came.
	Whole   bool
	Verdict string
	Text    string
}

// ID returns the request id that endpoints see.
func (a Attempt) ID() string { return fmt.Sprintf("%s/%d", a.Program, a.Number) }

// Execution is one request that a service carried out, in order of arrival.
type Execution struct {
	ID string
}

// History is what happened in a run.
type History struct {
	mu       sync.Mutex
	attempts []Attempt

	// Executions are those of all services.
	Executions []Execution
	// Calls is the largest number of calls that a program may make.
	Calls int
	// Ended are the programs that were ended and Held those that engines hold
	// memory for at the end.
	Ended, Held []string
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

// Check returns every broken promise that the history shows.
func (h *History) Check() []string {
	runs := make(map[string]int)
	for _, e := range h.Executions {
		runs[e.ID]++
	}
	var broken []string
	broken = append(broken, h.once(runs)...)
	broken = append(broken, h.notRunTrue(runs)...)
	broken = append(broken, h.whole(runs)...)
	broken = append(broken, h.order()...)
	broken = append(broken, h.budget(runs)...)
	return append(broken, h.memory()...)
}

func (h *History) once(runs map[string]int) (broken []string) {
	for id, n := range runs {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("once: %s ran %d times", id, n))
		}
	}
	return broken
}

// notRunTrue finds orders that ran although every attempt got not_run.
func (h *History) notRunTrue(runs map[string]int) (broken []string) {
	told := make(map[string]bool)
	for _, a := range h.Attempts() {
		if a.Verdict != NotRun {
			told[a.ID()] = true
		}
	}
	for _, a := range h.Attempts() {
		if a.Order && !told[a.ID()] && runs[a.ID()] > 0 {
			broken = append(broken, fmt.Sprintf("not run: %s ran", a.ID()))
		}
	}
	return broken
}

// whole compares each whole answer with its own request: an order's names the
// request, a model's names the digest of the whole history before it.
func (h *History) whole(runs map[string]int) (broken []string) {
	histories := h.histories()
	first := make(map[string]string)
	for _, a := range h.Attempts() {
		if !a.Whole {
			continue
		}
		if earlier, ok := first[a.ID()]; ok && earlier != a.Text {
			broken = append(broken, fmt.Sprintf("whole: %s got %q and then %q", a.ID(), earlier, a.Text))
		}
		first[a.ID()] = a.Text
		if a.Order && (runs[a.ID()] == 0 || !strings.Contains(a.Text, a.ID())) {
			broken = append(broken, fmt.Sprintf("whole: order %s got %q", a.ID(), a.Text))
		}
		want := "seen:" + engine.Digest(histories[a.ID()])
		if !a.Order && !strings.HasPrefix(a.Text, want) {
			broken = append(broken, fmt.Sprintf("whole: call %s got %q, want %s", a.ID(), a.Text, want))
		}
	}
	return broken
}

// histories returns the messages that each model call should have been seen
// with: those of the calls before it that were answered, and its own.
func (h *History) histories() map[string][]engine.Message {
	answered := make(map[string]Attempt)
	var all []Attempt
	for _, a := range h.Attempts() {
		if _, ok := answered[a.ID()]; !a.Order && a.Whole && !ok {
			answered[a.ID()] = a
			all = append(all, a)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	programs := make(map[string][]engine.Message)
	histories := make(map[string][]engine.Message)
	for _, a := range all {
		programs[a.Program] = append(programs[a.Program], engine.Message{Role: "user", Content: a.Message})
		histories[a.ID()] = append([]engine.Message{}, programs[a.Program]...)
		programs[a.Program] = append(programs[a.Program], engine.Message{Role: "assistant", Content: a.Text})
	}
	return histories
}

// order finds orders that reached a service before an earlier one of their
// program.
func (h *History) order() (broken []string) {
	last := make(map[string]int)
	for _, e := range h.Executions {
		program, number := split(e.ID)
		if number < last[program] {
			broken = append(broken, fmt.Sprintf("order: %s ran after call %d", e.ID, last[program]))
		}
		last[program] = max(last[program], number)
	}
	return broken
}

func (h *History) budget(runs map[string]int) (broken []string) {
	calls := make(map[string]int)
	for id, n := range runs {
		program, _ := split(id)
		calls[program] += n
	}
	for program, n := range calls {
		if h.Calls > 0 && n > h.Calls {
			broken = append(broken, fmt.Sprintf("budget: %s made %d calls of %d", program, n, h.Calls))
		}
	}
	return broken
}

func (h *History) memory() (broken []string) {
	for _, held := range h.Held {
		for _, ended := range h.Ended {
			if held == ended {
				broken = append(broken, fmt.Sprintf("memory: still held for %s", held))
			}
		}
	}
	return broken
}

func split(id string) (program string, number int) {
	program, rest, _ := strings.Cut(id, "/")
	_, _ = fmt.Sscanf(rest, "%d", &number)
	return program, number
}
