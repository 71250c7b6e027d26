package overload_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/policy/overload"
)

const (
	calmTook = 400 * time.Millisecond
	step     = 10 * time.Millisecond
)

// history plays a calm time and then an overload, in which responses come at the same
// rate but late, from endpoints with a long queue.
type history struct {
	controller *overload.Controller
	now        time.Time
}

func newHistory() *history {
	return &history{controller: overload.New(overload.DefaultParams(), rand.New(rand.NewPCG(1, 2))), now: start}
}

// play serves a request in each step; every fifth starts a program.
func (h *history) play(steps int, load int, took time.Duration) {
	for i := range steps {
		h.now = h.now.Add(step)
		h.controller.Admit(request(3, i%5 > 0), h.now)
		if load > 0 {
			h.controller.Report(min(load, 8), max(0, load-8), 8, h.now)
		}
		h.controller.Done(true, took, h.now)
	}
}

func request(priority int, started bool) overload.Request {
	return overload.NewRequest("t", "r", float64(priority), started, 2*time.Second)
}

// admitted is the share of requests that are admitted without a change of the time.
func (h *history) admitted(r overload.Request) float64 {
	const requests = 1000
	n := 0
	for range requests {
		if h.controller.Admit(r, h.now).Admitted() {
			n++
			h.controller.Done(false, 0, h.now)
		}
	}
	return float64(n) / requests
}

func overloaded() *history {
	h := newHistory()
	h.play(1000, 5, calmTook)
	h.play(200, 24, 3*calmTook)
	return h
}

func TestAdmissionDuringOverload(t *testing.T) {
	t.Run("new programs are refused first", func(t *testing.T) {
		h := overloaded()
		started, fresh := h.admitted(request(3, true)), h.admitted(request(3, false))
		if started < 0.99 || fresh > 0.1 {
			t.Errorf("%.2f of started and %.2f of new programs are admitted", started, fresh)
		}
	})
	t.Run("a minimum of each kind is admitted", func(t *testing.T) {
		if got := overloaded().admitted(request(9, false)); got < 0.01 {
			t.Errorf("%.3f of new programs of the lowest priority are admitted", got)
		}
	})
	t.Run("retries are spread", func(t *testing.T) {
		h := overloaded()
		shortest, longest := time.Hour, time.Duration(0)
		for range 1000 {
			if d := h.controller.Admit(request(3, false), h.now); !d.Admitted() {
				shortest, longest = min(shortest, d.RetryAfter()), max(longest, d.RetryAfter())
			}
		}
		if shortest < 100*time.Millisecond || longest > 12*time.Second || longest < 2*shortest {
			t.Errorf("retry delays are between %s and %s", shortest, longest)
		}
	})
}

// Guards against refusals on too little evidence.
func TestNoRefusalWithoutEvidence(t *testing.T) {
	assertAll := func(t *testing.T, h *history) {
		t.Helper()
		if got := h.admitted(request(9, false)); got < 1 {
			t.Errorf("%.3f of new programs are admitted", got)
		}
	}
	t.Run("no reports", func(t *testing.T) {
		h := newHistory()
		h.play(1000, 0, calmTook)
		h.play(200, 0, 3*calmTook)
		assertAll(t, h)
	})
	t.Run("no calm time is known", func(t *testing.T) {
		h := newHistory()
		h.play(500, 24, 3*calmTook)
		assertAll(t, h)
	})
	t.Run("requests do not take longer", func(t *testing.T) {
		h := newHistory()
		h.play(1000, 5, calmTook)
		h.play(200, 24, calmTook)
		assertAll(t, h)
	})
	t.Run("requests take longer at endpoints with free slots", func(t *testing.T) {
		h := newHistory()
		h.play(1000, 5, calmTook)
		h.play(200, 5, 3*calmTook)
		assertAll(t, h)
	})
	t.Run("the last report is old", func(t *testing.T) {
		h := overloaded()
		h.now = h.now.Add(2 * time.Second)
		assertAll(t, h)
	})
	t.Run("the overload has ended", func(t *testing.T) {
		h := overloaded()
		h.play(100, 5, calmTook)
		assertAll(t, h)
	})
}

// Guards against a priority that has no effect: where programs of the lowest priority
// are refused, more urgent ones are still admitted, and not the other way round.
func TestUrgentProgramsGoFirst(t *testing.T) {
	const lowest, highest, requests = 9, 0, 200
	// The minimum of each kind is 4 of 200 new programs.
	const minUrgent, maxOthers = 12, 10
	// admittedAfter is how many programs of a priority are admitted after others were
	// admitted until some were refused.
	admittedAfter := func(others, priority int) (n int) {
		h := newHistory()
		h.play(1000, 5, calmTook)
		h.play(200, 13, 2*calmTook)
		for refused := 0; refused < 10; {
			if d := h.controller.Admit(request(others, false), h.now); d.Admitted() {
				h.controller.Done(false, 0, h.now)
			} else {
				refused++
			}
		}
		for range requests {
			if h.controller.Admit(request(priority, false), h.now).Admitted() {
				h.controller.Done(false, 0, h.now)
				n++
			}
		}
		return n
	}
	if got := admittedAfter(lowest, highest); got < minUrgent {
		t.Errorf("%d of %d urgent programs are admitted after the others were refused, want %d", got, requests, minUrgent)
	}
	if got := admittedAfter(highest, lowest); got > maxOthers {
		t.Errorf("%d of %d others are admitted after urgent programs were refused", got, requests)
	}
}

// Guards against memory that grows with the number of teams.
func TestManyTeams(t *testing.T) {
	h := overloaded()
	for i := range 10_000 {
		h.now = h.now.Add(time.Millisecond)
		h.controller.Admit(overload.NewRequest(fmt.Sprint(i), "r", 5, true, time.Second), h.now)
		h.controller.Done(false, 0, h.now)
	}
	if got := h.controller.Senders(); got > 1025 {
		t.Errorf("%d teams are counted", got)
	}
}
