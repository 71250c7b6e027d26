package home_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
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

// programUsage records the usage of one program and its sub-agents.
type programUsage struct {
	id       hawthornrail.ProgramID
	parent   int
	budget   hawthornrail.Budget
	created  time.Time
	calls    uint64
	tokens   uint64
	children uint32
}

// meteredEngine is an engine that generates a chosen number of tokens, with a record
// of the usage of each program.
type meteredEngine struct {
	clock         *clockwork.FakeClock
	steps         []hawthornrail.Step
	backup        *backup
	usages        []*programUsage
	generate      uint64
	fails         bool
	losesOutcomes bool
	err           error
}

// backup implements hawthornrail.Replicator for one home.
type backup struct {
	*meteredEngine
	replaced atomic.Bool
}

// Holding returns the instance that every tree of the test is created under.
func (r *backup) Holding() hawthornrail.Instance { return hawthornrail.NewInstance("vm1", "dc1", 1) }

// Holds reports whether no other home has taken over the programs.
func (r *backup) Holds(hawthornrail.Instance) bool { return !r.replaced.Load() }

// Sync replaces the replicated steps.
func (r *backup) Sync(_ context.Context, steps []hawthornrail.Step) error {
	if r.replaced.Load() {
		return hawthornrail.NotRun(hawthornrail.CodeMoved, "injected")
	}
	r.steps = slices.Clone(steps)
	return nil
}

// Replicate stores a step; it fails for outcomes if losesOutcomes is set.
func (r *backup) Replicate(_ context.Context, step hawthornrail.Step, apply func() error) error {
	_, outcome := step.Change().(hawthornrail.Outcome)
	if r.replaced.Load() || (r.losesOutcomes && outcome) {
		return hawthornrail.NotRun(hawthornrail.CodeMoved, "injected")
	}
	r.steps = append(r.steps[:step.Sequence()-1], step)
	return apply()
}

// Dispatch generates tokens up to the reply limit; a longer response is
// truncated and fails.
func (s *meteredEngine) Dispatch(_ context.Context, _ hawthornrail.Endpoint, r *hawthornrail.Request, _ string, w hawthornrail.ResponseWriter) (hawthornrail.Response, error) {
	prompt, completion := uint64(len(r.Body())/8), min(s.generate, r.OutputLimit())
	id, err := hawthornrail.ParseProgramID(r.Program())
	if err != nil {
		return hawthornrail.Response{}, err
	}
	s.recordUsage(int(id.Index()), prompt+completion)
	if s.generate > r.OutputLimit() {
		return hawthornrail.Response{}, hawthornrail.NewFailure(hawthornrail.CodeBudget, hawthornrail.VerdictMayHaveRun, errInjected)
	}
	if s.fails {
		return hawthornrail.Response{}, hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictMayHaveRun, errInjected)
	}
	_ = w.Head(200, "application/json")
	return hawthornrail.NewResponse(200, "application/json", nil, []byte("{}"), hawthornrail.NewUsage(prompt, completion, 0)), nil
}

// recordUsage counts a call for a program and its ancestors.
func (s *meteredEngine) recordUsage(index int, tokens uint64) {
	for {
		a := s.usages[index]
		a.calls++
		a.tokens += tokens
		if !s.clock.Now().Before(a.created.Add(a.budget.WallTime())) {
			s.err = fmt.Errorf("call of program %d after its wall time", index)
		}
		if a.calls > a.budget.Calls() || a.tokens > a.budget.Tokens() {
			s.err = fmt.Errorf("program %d used %d calls and %d tokens of %v", index, a.calls, a.tokens, a.budget)
		}
		if index == a.parent {
			return
		}
		index = a.parent
	}
}

// addChild counts a sub-agent for its ancestors.
func (s *meteredEngine) addChild(parent int, a *programUsage) {
	a.parent = parent
	s.usages = append(s.usages, a)
	for depth := uint32(1); ; depth++ {
		p := s.usages[parent]
		p.children++
		if p.children > p.budget.Children() || depth > p.budget.Depth() {
			s.err = fmt.Errorf("program %d has %d sub-agents at depth %d of %v", parent, p.children, depth, p.budget)
		}
		if parent == p.parent {
			return
		}
		parent = p.parent
	}
}

func (s *meteredEngine) home(vm string) *home.Home {
	s.backup = &backup{meteredEngine: s}
	return home.New(home.Dependencies{
		Self: hawthornrail.NewInstance(vm, "dc1", 1), Secret: []byte("secret"), Clock: s.clock,
		Replicator: s.backup, Queue: unbounded{}, Picker: picker{}, Engines: s, Services: s,
		Tracer: traces.NewNoop(), Log: events.Discard(), RetryLimit: 1, DefaultReply: 20,
	})
}

func (s *meteredEngine) takeOver(id hawthornrail.ProgramID) *home.Home {
	s.backup.replaced.Store(true)
	tree := ledger.NewTree(id)
	for _, step := range s.steps {
		_ = tree.Apply(step)
	}
	for _, change := range tree.Unresolved() {
		step := tree.Next(change)
		_ = tree.Apply(step)
		s.steps = append(s.steps, step)
	}
	h := s.home("vm2")
	h.Adopt([]*ledger.Tree{tree})
	return h
}

// By the engine's own count of tokens, no program exceeds its budget, despite
// sub-agents, lost acknowledgements, failures and takeovers.
func TestBudgetAgainstEngineUsage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &meteredEngine{clock: clockwork.NewFakeClock()}
		h := s.home("vm1")
		budget := hawthornrail.NewBudget(12, 400, 10*time.Minute, 2, 3)
		id, err := h.Create(context.Background(), "team", "deployment", budget)
		if err != nil {
			t.Fatal(err)
		}
		s.usages = []*programUsage{{id: id, budget: budget, created: s.clock.Now()}}
		next := []uint64{1}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			index := rapid.IntRange(0, len(s.usages)-1).Draw(t, "program")
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				s.losesOutcomes, s.generate = true, rapid.Uint64Range(1, 60).Draw(t, "generate")
				_ = s.call(h, index, next[index])
				s.losesOutcomes = false
				h = s.takeOver(id)
			case 1:
				s.clock.Advance(time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds")) * time.Second)
			case 2:
				_ = h.End(context.Background(), s.usages[index].id, "ended")
			case 3, 4:
				b := hawthornrail.NewBudget(rapid.Uint64Range(1, 8).Draw(t, "calls"), rapid.Uint64Range(10, 300).Draw(t, "tokens"),
					time.Duration(rapid.IntRange(1, 10).Draw(t, "minutes"))*time.Minute, uint32(rapid.IntRange(0, 1).Draw(t, "depth")), uint32(rapid.IntRange(0, 2).Draw(t, "children")))
				child, err := h.CreateChild(context.Background(), s.usages[index].id, b)
				if err == nil {
					s.addChild(index, &programUsage{id: child, budget: b, created: s.clock.Now()})
					next = append(next, 1)
				}
			default:
				s.generate = rapid.Uint64Range(1, 60).Draw(t, "generate")
				s.fails = rapid.Bool().Draw(t, "fails")
				if s.call(h, index, next[index]) == nil {
					next[index]++
				}
			}
			if s.err != nil {
				t.Fatal(s.err)
			}
		}
	})
}

func (s *meteredEngine) call(h *home.Home, index int, number uint64) error {
	r := hawthornrail.NewModelRequest("counter", []byte(`{"messages":[{"role":"user","content":"hello"}]}`), false)
	r.Identify("", hawthornrail.NewDeployment("deployment", "team", 1))
	r.SetProgram(s.usages[index].id.String(), number)
	return h.Serve(context.Background(), r, &collector{})
}

// A program that loops or whose wall time is over is ended, and its calls are
// rejected with the matching code.
func TestLoopingProgramEnds(t *testing.T) {
	start := func(budget hawthornrail.Budget) (*meteredEngine, *home.Home) {
		s := &meteredEngine{clock: clockwork.NewFakeClock(), generate: 1}
		h := s.home("vm1")
		id, _ := h.Create(context.Background(), "team", "deployment", budget)
		s.usages = []*programUsage{{id: id, budget: budget, created: s.clock.Now()}}
		return s, h
	}
	t.Run("calls", func(t *testing.T) {
		s, h := start(hawthornrail.NewBudget(3, 10000, time.Hour, 0, 0))
		for n := uint64(1); n <= 3; n++ {
			assertRefusal(t, s.call(h, 0, n), "")
		}
		assertRefusal(t, s.call(h, 0, 4), hawthornrail.CodeBudget)
		assertRefusal(t, s.call(h, 0, 4), hawthornrail.CodeProgramEnded)
	})
	t.Run("wall time at admission", func(t *testing.T) {
		s, h := start(hawthornrail.NewBudget(3, 10000, time.Hour, 0, 0))
		s.clock.Advance(time.Hour)
		assertRefusal(t, s.call(h, 0, 1), hawthornrail.CodeBudget)
		assertRefusal(t, s.call(h, 0, 1), hawthornrail.CodeProgramEnded)
	})
	t.Run("wall time by the sweeper", func(t *testing.T) {
		s, h := start(hawthornrail.NewBudget(3, 10000, time.Hour, 0, 0))
		s.clock.Advance(time.Hour)
		h.Sweep(context.Background())
		if _, live := h.Count(); live > 0 {
			t.Errorf("%d live programs", live)
		}
	})
}

func assertRefusal(t *testing.T, err error, want hawthornrail.Code) {
	t.Helper()
	switch {
	case want == "" && err != nil, want != "" && err == nil:
		t.Errorf("got %v, want %q", err, want)
	case err != nil && (hawthornrail.AsFailure(err).Code() != want || hawthornrail.VerdictOf(err) != hawthornrail.VerdictNotRun):
		t.Errorf("got %v, want %s", err, want)
	}
}
