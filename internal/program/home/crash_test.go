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

// point is a place between the receipt of a call and its answer where
// something fails.
type point int

const (
	pointNone point = iota
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

// fault is what fails during one attempt: the home dies there, or only that
// step fails.
type fault struct {
	at   point
	dies bool
}

// attempt is one request of the caller.
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

// rules are replaced by naive ones to show that the judge catches them.
type rules struct {
	faultIsNotRun  bool
	forgetsPending bool
}

var errInjected = errors.New("injected")

// world is a fleet of successive homes with one service.
type world struct {
	rules    rules
	secret   []byte
	clock    *clockwork.FakeClock
	mu       sync.Mutex
	steps    []hawthornrail.Step
	counts   map[string]int
	late     []func()
	home     *site
	id       hawthornrail.ProgramID
	attempts []*attempt
	wait     sync.WaitGroup
}

// site is one home with what it reaches.
type site struct {
	world *world
	home  *home.Home
	dead  bool
	fault fault
}

func newWorld(r rules) *world {
	w := &world{rules: r, secret: []byte("secret"), clock: clockwork.NewFakeClock(), counts: make(map[string]int)}
	w.home = w.site("vm1")
	budget := hawthornrail.NewBudget(1000, 1000, 1000*time.Hour, 0, 0)
	w.id, _ = w.home.home.Create(context.Background(), "team", "deployment", budget)
	return w
}

func (w *world) site(vm string) *site {
	s := &site{world: w}
	s.home = home.New(home.Parts{
		Self: hawthornrail.NewInstance(vm, "dc1", 1), Secret: w.secret, Clock: w.clock,
		Replicator: s, Queue: unbounded{}, Picker: picker{}, Services: s,
		Tracer: traces.NewNone(), Log: events.Discard(), RetryLimit: 2,
	})
	return s
}

// takeOver makes a new home from what the replica holds.
func (w *world) takeOver() {
	w.mu.Lock()
	w.home.dead = true
	tree := ledger.NewTree(w.id)
	for _, s := range w.steps {
		_ = tree.Apply(s)
	}
	if w.rules.forgetsPending {
		tree = w.withoutPending(tree)
	}
	w.mu.Unlock()
	next := w.site("vm2")
	for _, change := range tree.Unresolved() {
		s := tree.Next(change)
		_ = tree.Apply(s)
		w.hold(s)
	}
	next.home.Adopt([]*ledger.Tree{tree})
	w.home = next
}

// withoutPending is the naive takeover: a call without outcome did not run.
func (w *world) withoutPending(tree *ledger.Tree) *ledger.Tree {
	for _, c := range tree.Programs()[0].Pending() {
		s := tree.Next(hawthornrail.NewOutcome(0, c.Number(), hawthornrail.VerdictNotRun, hawthornrail.CodeHomeUnreachable))
		_ = tree.Apply(s)
		w.steps = append(w.steps, s)
	}
	return tree
}

// hold keeps a step; the last one may be replaced while it is not
// acknowledged.
func (w *world) hold(s hawthornrail.Step) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steps = append(w.steps[:s.Sequence()-1], s)
}

// hits reports whether the fault of the present attempt is at p.
func (s *site) hits(p point) bool {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if s.fault.at != p {
		return false
	}
	s.dead = s.dead || s.fault.dies
	s.fault.at = pointNone
	return true
}

func (s *site) isDead() bool {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return s.dead
}

// Holding returns the instance that every tree of the test is created under.
func (s *site) Holding() hawthornrail.Instance { return hawthornrail.NewInstance("vm1", "dc1", 1) }

// Holds reports whether the site has not been replaced.
func (s *site) Holds(hawthornrail.Instance) bool { return !s.isDead() }

// Sync replaces the steps of the replica.
func (s *site) Sync(_ context.Context, steps []hawthornrail.Step) error {
	if s.isDead() {
		return hawthornrail.NotRun(hawthornrail.CodeMoved, "replaced")
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.world.steps = slices.Clone(steps)
	return nil
}

// Replicate is the replica of a site.
func (s *site) Replicate(_ context.Context, step hawthornrail.Step, apply func() error) error {
	before, after := pointNone, pointNone
	switch step.Change().(type) {
	case hawthornrail.Intent:
		before, after = pointIntent, pointIntentHeld
	case hawthornrail.Outcome:
		before, after = pointOutcome, pointOutcomeHeld
	case hawthornrail.End:
		before, after = pointEnd, pointEndHeld
	}
	if s.isDead() {
		return hawthornrail.NotRun(hawthornrail.CodeMoved, "replaced")
	}
	if before != pointNone && s.hits(before) {
		return hawthornrail.NotRun(hawthornrail.CodeReplicaUnreached, "injected")
	}
	s.world.hold(step)
	if after != pointNone && s.hits(after) {
		return hawthornrail.NotRun(hawthornrail.CodeReplicaUnreached, "injected")
	}
	return apply()
}

// Dispatch is the service of a site.
func (s *site) Dispatch(ctx context.Context, _ hawthornrail.Endpoint, _ *hawthornrail.Request, id string, w hawthornrail.AnswerWriter) (hawthornrail.Answer, error) {
	a := ctx.Value(attemptKey{}).(*attempt)
	s.duplicate(a)
	if s.isDead() || s.hits(pointDispatch) {
		return hawthornrail.Answer{}, hawthornrail.NotRun(hawthornrail.CodeEndpointFailed, "not sent")
	}
	if a.endFirst {
		_ = s.home.End(context.Background(), s.world.id, "ended by the caller")
	}
	if s.hits(pointWritten) {
		s.world.mu.Lock()
		s.world.late = append(s.world.late, func() { s.world.execute(a, id) })
		s.world.mu.Unlock()
		return hawthornrail.Answer{}, s.afterWrite()
	}
	s.world.execute(a, id)
	if s.hits(pointRan) {
		return hawthornrail.Answer{}, s.afterWrite()
	}
	if err := w.Head(200, "text/plain"); err != nil {
		return hawthornrail.Answer{}, err
	}
	_ = w.Chunk([]byte(id))
	return hawthornrail.NewAnswer(200, "text/plain", []byte(id), nil, hawthornrail.Usage{}), nil
}

func (s *site) afterWrite() error {
	if s.world.rules.faultIsNotRun {
		return hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictNotRun, errInjected)
	}
	return hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictMayHaveRun, errInjected)
}

// duplicate sends the same call again while it is under way.
func (s *site) duplicate(a *attempt) {
	for range a.duplicates {
		again := &attempt{number: a.number, ends: a.ends}
		s.world.mu.Lock()
		s.world.attempts = append(s.world.attempts, again)
		s.world.mu.Unlock()
		s.world.wait.Add(1)
		go func() {
			defer s.world.wait.Done()
			s.serve(again)
		}()
	}
	a.duplicates = 0
}

func (w *world) execute(a *attempt, id string) {
	w.mu.Lock()
	w.counts[id]++
	w.mu.Unlock()
	a.mu.Lock()
	a.executions++
	a.mu.Unlock()
}

func (s *site) serve(a *attempt) {
	r := hawthornrail.NewServiceRequest("orders", "POST", "/orders", "text/plain", []byte("one pallet"))
	r.Identify("", hawthornrail.NewDeployment("deployment", "team", 1))
	r.SetProgram(s.world.id.String(), a.number)
	r.SetEndsProgram(a.ends)
	out := &collector{}
	err := s.home.Serve(context.WithValue(context.Background(), attemptKey{}, a), r, out)
	lost := s.isDead() || s.hits(pointAnswer)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err, a.body, a.lost = err, out.body, lost
}

// settle lets time pass until every duplicate has been answered.
func (w *world) settle() {
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

// run plays a schedule and returns what the judge finds.
func run(r rules, schedule []*attempt) error {
	w := newWorld(r)
	for _, planned := range schedule {
		a := &attempt{number: planned.number, ends: planned.ends, fault: planned.fault, duplicates: planned.duplicates, endFirst: planned.endFirst}
		w.attempts = append(w.attempts, a)
		w.setFault(a.fault)
		w.wait.Add(1)
		go func(s *site) {
			defer w.wait.Done()
			s.serve(a)
		}(w.home)
		w.settle()
		if w.home.isDead() {
			w.takeOver()
		}
	}
	for _, f := range w.late {
		f()
	}
	w.kill()
	w.clock.Advance(time.Minute)
	return w.judge()
}

func (w *world) setFault(f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.home.fault = f
}

func (w *world) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.home.dead = true
}

// judge compares the verdicts with the service's count of executions.
func (w *world) judge() error {
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
			return fmt.Errorf("call %d was answered %q and ran %d times", a.number, a.body, w.counts[id])
		case a.err != nil && hawthornrail.VerdictOf(a.err) == hawthornrail.VerdictNotRun && a.executions > 0:
			return fmt.Errorf("call %d ran and was answered: %w", a.number, a.err)
		}
	}
	return w.judgeCalls()
}

// judgeCalls finds calls that ran although every attempt was told otherwise.
func (w *world) judgeCalls() error {
	for _, a := range w.attempts {
		id := fmt.Sprintf("%s/%d", w.id, a.number)
		told := slices.ContainsFunc(w.attempts, func(b *attempt) bool {
			return b.number == a.number && (b.lost || hawthornrail.VerdictOf(b.err) != hawthornrail.VerdictNotRun)
		})
		if !told && w.counts[id] > 0 {
			return fmt.Errorf("call %d ran and every attempt was told that it did not", a.number)
		}
	}
	return nil
}

var schedules = rapid.Custom(func(t *rapid.T) []*attempt {
	var list []*attempt
	for range rapid.IntRange(1, 8).Draw(t, "attempts") {
		list = append(list, &attempt{
			number:     rapid.Uint64Range(1, 3).Draw(t, "number"),
			ends:       rapid.Bool().Draw(t, "ends"),
			fault:      fault{point(rapid.IntRange(0, int(pointCount)-1).Draw(t, "point")), rapid.Bool().Draw(t, "dies")},
			duplicates: rapid.IntRange(0, 1).Draw(t, "duplicates"),
			endFirst:   rapid.IntRange(0, 9).Draw(t, "end first") == 0,
		})
	}
	return list
})

// A non-idempotent request runs at most once and "not run" is true, wherever
// the home dies or a step fails between receipt and answer.
func TestAtMostOnceAtEveryCrashPoint(t *testing.T) {
	t.Run("judge catches a fault after dispatch taken as not run", func(t *testing.T) {
		assertCaught(t, rules{faultIsNotRun: true})
	})
	t.Run("judge catches a takeover that forgets pending calls", func(t *testing.T) {
		assertCaught(t, rules{forgetsPending: true})
	})
	t.Run("every point once", func(t *testing.T) {
		for p := range pointCount {
			for _, dies := range []bool{false, true} {
				first := &attempt{number: 1, ends: true, fault: fault{p, dies}, duplicates: 1}
				if err := run(rules{}, []*attempt{first, {number: 1, ends: true}}); err != nil {
					t.Errorf("point %d, dies %t: %v", p, dies, err)
				}
			}
		}
	})
	t.Run("schedules", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			if err := run(rules{}, schedules.Draw(t, "schedule")); err != nil {
				t.Fatal(err)
			}
		})
	})
}

func assertCaught(t *testing.T, r rules) {
	t.Helper()
	const seeds = 200
	for seed := range seeds {
		if err := run(r, schedules.Example(seed)); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Errorf("no fault found in %d schedules", seeds)
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
