package home_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
	"hawthornrail.example/hawthornrail/internal/program/home"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
	"pgregory.net/rapid"
)

// faultPoint is a position between the receipt of a call and its response at which
// a fault is injected.
type faultPoint int

const (
	pointNone faultPoint = iota
	pointIntent
	pointIntentHeld
	pointDispatch
	pointWritten
	pointRan
	pointOutcome
	pointOutcomeHeld
	pointEnd
	pointEndHeld
	pointAnswer
	pointCount
)

// fault is the fault injected into one attempt: the home crashes at the point,
// or only that operation fails.
type fault struct {
	at      faultPoint
	crashes bool
}

// attempt is one request of the caller and its result.
type attempt struct {
	number     uint64
	ends       bool
	fault      fault
	duplicates int
	endFirst   bool

	mu         sync.Mutex
	executions int
	lost       bool
	err        error
	body       string
}

type attemptKey struct{}

// faultyRules selects faulty behaviour, to show that the checks detect it.
type faultyRules struct {
	failureIsNotRun bool
	dropsPending    bool
}

var errInjected = errors.New("injected")

// simulation simulates successive homes of one program with one service.
type simulation struct {
	faultyRules faultyRules
	secret      []byte
	clock       *clockwork.FakeClock
	mu          sync.Mutex
	steps       []hawthornrail.Step
	counts      map[string]int
	delayed     []func()
	home        *node
	id          hawthornrail.ProgramID
	attempts    []*attempt
	wait        sync.WaitGroup
}

// node is one home with its replicator and its service.
type node struct {
	simulation *simulation
	home       *home.Home
	crashed    bool
	fault      fault
}

func newSimulation(r faultyRules) *simulation {
	w := &simulation{faultyRules: r, secret: []byte("secret"), clock: clockwork.NewFakeClock(), counts: make(map[string]int)}
	w.home = w.node("vm1")
	budget := hawthornrail.NewBudget(1000, 1000, 1000*time.Hour, 0, 0)
	w.id, _ = w.home.home.Create(context.Background(), "team", "deployment", budget)
	return w
}

func (w *simulation) node(vm string) *node {
	s := &node{simulation: w}
	s.home = home.New(home.Dependencies{
		Self: hawthornrail.NewInstance(vm, "dc1", 1), Secret: w.secret, Clock: w.clock,
		Replicator: s, Queue: unbounded{}, Picker: picker{}, Services: s,
		Tracer: traces.NewNoop(), Log: events.Discard(), RetryLimit: 2,
	})
	return s
}

// takeOver replaces the home by one that continues from the replicated steps.
func (w *simulation) takeOver() {
	w.mu.Lock()
	w.home.crashed = true
	tree := ledger.NewTree(w.id)
	for _, s := range w.steps {
		_ = tree.Apply(s)
	}
	if w.faultyRules.dropsPending {
		tree = w.withoutPending(tree)
	}
	w.mu.Unlock()
	next := w.node("vm2")
	for _, change := range tree.Unresolved() {
		s := tree.Next(change)
		_ = tree.Apply(s)
		w.storeStep(s)
	}
	next.home.Adopt([]*ledger.Tree{tree})
	w.home = next
}

// withoutPending is a faulty takeover that records a pending call as not run.
func (w *simulation) withoutPending(tree *ledger.Tree) *ledger.Tree {
	for _, c := range tree.Programs()[0].Pending() {
		s := tree.Next(hawthornrail.NewOutcome(0, c.Number(), hawthornrail.VerdictNotRun, hawthornrail.CodeHomeUnreachable))
		_ = tree.Apply(s)
		w.steps = append(w.steps, s)
	}
	return tree
}

// storeStep stores a step; it replaces one with the same number that was not
// acknowledged.
func (w *simulation) storeStep(s hawthornrail.Step) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steps = append(w.steps[:s.Sequence()-1], s)
}

// injects reports whether the fault of the current attempt is at p, and injects it
// once.
func (s *node) injects(p faultPoint) bool {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	if s.fault.at != p {
		return false
	}
	s.crashed = s.crashed || s.fault.crashes
	s.fault.at = pointNone
	return true
}

func (s *node) hasCrashed() bool {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	return s.crashed
}

// Holding returns the instance that every tree of the test is created under.
func (s *node) Holding() hawthornrail.Instance { return hawthornrail.NewInstance("vm1", "dc1", 1) }

// Holds reports whether the home has not crashed.
func (s *node) Holds(hawthornrail.Instance) bool { return !s.hasCrashed() }

// Sync replaces the replicated steps.
func (s *node) Sync(_ context.Context, steps []hawthornrail.Step) error {
	if s.hasCrashed() {
		return hawthornrail.NotRun(hawthornrail.CodeMoved, "replaced")
	}
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	s.simulation.steps = slices.Clone(steps)
	return nil
}

// Replicate stores a step, with faults before and after it is stored.
func (s *node) Replicate(_ context.Context, step hawthornrail.Step, apply func() error) error {
	before, after := pointNone, pointNone
	switch step.Change().(type) {
	case hawthornrail.Intent:
		before, after = pointIntent, pointIntentHeld
	case hawthornrail.Outcome:
		before, after = pointOutcome, pointOutcomeHeld
	case hawthornrail.End:
		before, after = pointEnd, pointEndHeld
	}
	if s.hasCrashed() {
		return hawthornrail.NotRun(hawthornrail.CodeMoved, "replaced")
	}
	if before != pointNone && s.injects(before) {
		return hawthornrail.NotRun(hawthornrail.CodeReplicaUnreachable, "injected")
	}
	s.simulation.storeStep(step)
	if after != pointNone && s.injects(after) {
		return hawthornrail.NotRun(hawthornrail.CodeReplicaUnreachable, "injected")
	}
	return apply()
}

// Dispatch runs a request at the service, with faults before and after.
func (s *node) Dispatch(ctx context.Context, _ hawthornrail.Endpoint, _ *hawthornrail.Request, id string, w hawthornrail.ResponseWriter) (hawthornrail.Response, error) {
	a := ctx.Value(attemptKey{}).(*attempt)
	s.duplicate(a)
	if s.hasCrashed() || s.injects(pointDispatch) {
		return hawthornrail.Response{}, hawthornrail.NotRun(hawthornrail.CodeEndpointFailed, "not sent")
	}
	if a.endFirst {
		_ = s.home.End(context.Background(), s.simulation.id, "ended by the caller")
	}
	if s.injects(pointWritten) {
		s.simulation.mu.Lock()
		s.simulation.delayed = append(s.simulation.delayed, func() { s.simulation.execute(a, id) })
		s.simulation.mu.Unlock()
		return hawthornrail.Response{}, s.afterWrite()
	}
	s.simulation.execute(a, id)
	if s.injects(pointRan) {
		return hawthornrail.Response{}, s.afterWrite()
	}
	if err := w.Head(200, "text/plain"); err != nil {
		return hawthornrail.Response{}, err
	}
	_ = w.Chunk([]byte(id))
	return hawthornrail.NewResponse(200, "text/plain", []byte(id), nil, hawthornrail.Usage{}), nil
}

func (s *node) afterWrite() error {
	if s.simulation.faultyRules.failureIsNotRun {
		return hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictNotRun, errInjected)
	}
	return hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictMayHaveRun, errInjected)
}

// duplicate sends the same call again while it is in flight.
func (s *node) duplicate(a *attempt) {
	for range a.duplicates {
		repeat := &attempt{number: a.number, ends: a.ends}
		s.simulation.mu.Lock()
		s.simulation.attempts = append(s.simulation.attempts, repeat)
		s.simulation.mu.Unlock()
		s.simulation.wait.Add(1)
		go func() {
			defer s.simulation.wait.Done()
			s.serve(repeat)
		}()
	}
	a.duplicates = 0
}

func (w *simulation) execute(a *attempt, id string) {
	w.mu.Lock()
	w.counts[id]++
	w.mu.Unlock()
	a.mu.Lock()
	a.executions++
	a.mu.Unlock()
}

func (s *node) serve(a *attempt) {
	r := hawthornrail.NewServiceRequest("orders", "POST", "/orders", "text/plain", []byte("one pallet"))
	r.Identify("", hawthornrail.NewDeployment("deployment", "team", 1))
	r.SetProgram(s.simulation.id.String(), a.number)
	r.SetEndsProgram(a.ends)
	out := &collector{}
	err := s.home.Serve(context.WithValue(context.Background(), attemptKey{}, a), r, out)
	lost := s.hasCrashed() || s.injects(pointAnswer)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err, a.body, a.lost = err, out.body, lost
}

// waitForAttempts advances the clock until every attempt has returned.
func (w *simulation) waitForAttempts() {
	done := make(chan struct{})
	go func() {
		w.wait.Wait()
		close(done)
	}()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
			w.clock.Advance(time.Minute)
		}
	}
}

// runSchedule executes a schedule and returns the first violation.
func runSchedule(r faultyRules, schedule []*attempt) error {
	w := newSimulation(r)
	for _, planned := range schedule {
		a := &attempt{number: planned.number, ends: planned.ends, fault: planned.fault, duplicates: planned.duplicates, endFirst: planned.endFirst}
		w.attempts = append(w.attempts, a)
		w.setFault(a.fault)
		w.wait.Add(1)
		go func(s *node) {
			defer w.wait.Done()
			s.serve(a)
		}(w.home)
		w.waitForAttempts()
		if w.home.hasCrashed() {
			w.takeOver()
		}
	}
	for _, f := range w.delayed {
		f()
	}
	w.crashHome()
	w.clock.Advance(time.Minute)
	return w.checkVerdicts()
}

func (w *simulation) setFault(f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.home.fault = f
}

func (w *simulation) crashHome() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.home.crashed = true
}

// checkVerdicts compares the verdicts with the number of executions at the service.
func (w *simulation) checkVerdicts() error {
	for id, n := range w.counts {
		if n > 1 {
			return fmt.Errorf("%s ran %d times", id, n)
		}
	}
	for _, a := range w.attempts {
		id := fmt.Sprintf("%s/%d", w.id, a.number)
		switch {
		case a.lost:
		case a.err == nil && (w.counts[id] != 1 || a.body != id):
			return fmt.Errorf("call %d returned %q and ran %d times", a.number, a.body, w.counts[id])
		case a.err != nil && hawthornrail.VerdictOf(a.err) == hawthornrail.VerdictNotRun && a.executions > 0:
			return fmt.Errorf("call %d ran and returned: %w", a.number, a.err)
		}
	}
	return w.checkCalls()
}

// checkCalls detects calls that ran although every attempt returned "not run".
func (w *simulation) checkCalls() error {
	for _, a := range w.attempts {
		id := fmt.Sprintf("%s/%d", w.id, a.number)
		mayHaveRun := slices.ContainsFunc(w.attempts, func(b *attempt) bool {
			return b.number == a.number && (b.lost || hawthornrail.VerdictOf(b.err) != hawthornrail.VerdictNotRun)
		})
		if !mayHaveRun && w.counts[id] > 0 {
			return fmt.Errorf("call %d ran and every attempt returned not run", a.number)
		}
	}
	return nil
}

var schedules = rapid.Custom(func(t *rapid.T) []*attempt {
	var attempts []*attempt
	for range rapid.IntRange(1, 8).Draw(t, "attempts") {
		attempts = append(attempts, &attempt{
			number:     rapid.Uint64Range(1, 3).Draw(t, "number"),
			ends:       rapid.Bool().Draw(t, "ends"),
			fault:      fault{faultPoint(rapid.IntRange(0, int(pointCount)-1).Draw(t, "point")), rapid.Bool().Draw(t, "dies")},
			duplicates: rapid.IntRange(0, 1).Draw(t, "duplicates"),
			endFirst:   rapid.IntRange(0, 9).Draw(t, "end first") == 0,
		})
	}
	return attempts
})

// A non-idempotent request runs at most once, and never if "not run" was
// returned, wherever the home crashes or a step fails between the receipt of a
// call and its response.
func TestAtMostOnceAtEveryCrashPoint(t *testing.T) {
	t.Run("check detects a failure after dispatch reported as not run", func(t *testing.T) {
		assertDetected(t, faultyRules{failureIsNotRun: true})
	})
	t.Run("check detects a takeover that records pending calls as not run", func(t *testing.T) {
		assertDetected(t, faultyRules{dropsPending: true})
	})
	t.Run("every point once", func(t *testing.T) {
		for p := range pointCount {
			for _, crashes := range []bool{false, true} {
				first := &attempt{number: 1, ends: true, fault: fault{p, crashes}, duplicates: 1}
				if err := runSchedule(faultyRules{}, []*attempt{first, {number: 1, ends: true}}); err != nil {
					t.Errorf("point %d, crashes %t: %v", p, crashes, err)
				}
			}
		}
	})
	t.Run("schedules", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			if err := runSchedule(faultyRules{}, schedules.Draw(t, "schedule")); err != nil {
				t.Fatal(err)
			}
		})
	})
}

func assertDetected(t *testing.T, r faultyRules) {
	t.Helper()
	const seeds = 200
	for seed := range seeds {
		if err := runSchedule(r, schedules.Example(seed)); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Errorf("no violation detected in %d schedules", seeds)
}

type picker struct{}

func (picker) Pick(hawthornrail.PickQuery) (hawthornrail.Endpoint, error) {
	return hawthornrail.NewEndpoint("service", hawthornrail.ServiceEndpoint, "dc1", "", nil), nil
}

func (picker) Done(string, hawthornrail.PickQuery, error, hawthornrail.Usage, time.Duration) {}

type collector struct {
	body string
}

func (c *collector) Head(int, string) error { return nil }

func (c *collector) Chunk(data []byte) error {
	c.body += string(data)
	return nil
}
