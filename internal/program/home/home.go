package home

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
	"hawthornrail.example/hawthornrail/internal/policy/retry"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
)

const shardCount = 64

// Dependencies holds the dependencies and settings of a Home.
type Dependencies struct {
	Self         hawthornrail.Instance
	Secret       []byte
	Clock        hawthornrail.Clock
	Config       hawthornrail.Configuration
	Replicator   hawthornrail.Replicator
	Queue        hawthornrail.Queue
	Picker       hawthornrail.Picker
	Engines      hawthornrail.Dispatcher
	Services     hawthornrail.Dispatcher
	Tracer       *traces.Tracer
	Log          events.Logger
	RetryLimit   int
	DefaultReply uint64
}

// Home holds the program trees of this VM.
type Home struct {
	deps       Dependencies
	retries    *retry.Budget
	lastNumber atomic.Uint64
	recording  atomic.Int64
	seed       maphash.Seed
	shards     [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	trees map[string]*entry
}

// entry is a tree with its calls that are in flight on this VM.
type entry struct {
	mu   sync.Mutex
	tree *ledger.Tree
	// needsSync is set after a step of unknown outcome; the backup's copy may then
	// differ and is replaced before the next step.
	needsSync bool
	// moved is set when this VM stops holding the tree.
	moved bool
	// finishedAt is when the tree was first seen to have ended.
	finishedAt time.Time
	claimed    map[callKey]bool
	// changed is closed and replaced at each change of the tree.
	changed chan struct{}
	// unrecorded are the calls whose outcome is not replicated yet.
	unrecorded map[callKey]bool
}

type callKey struct {
	program uint32
	number  uint64
}

// New returns a home without programs.
func New(deps Dependencies) *Home {
	h := &Home{deps: deps, retries: retry.NewBudget(), seed: maphash.MakeSeed()}
	for i := range h.shards {
		h.shards[i].trees = make(map[string]*entry)
	}
	return h
}

func (h *Home) shard(tree string) *shard {
	return &h.shards[maphash.String(h.seed, tree)%shardCount]
}

func (h *Home) entry(id hawthornrail.ProgramID) (*entry, error) {
	tree := id.Tree().String()
	s := h.shard(tree)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.trees[tree]
	if ok {
		return e, nil
	}
	if !h.deps.Replicator.Holds(id.Home()) {
		return nil, movedFailure(id)
	}
	// The id was issued, so the program may have been removed after its
	// retention, and an earlier attempt of the call may have run.
	return nil, hawthornrail.NewFailure(hawthornrail.CodeUnknownProgram, hawthornrail.VerdictMayHaveRun,
		fmt.Errorf("program %s ended some time ago or was never started", id))
}

func (h *Home) put(e *entry) {
	tree := e.tree.ID().String()
	s := h.shard(tree)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trees[tree] = e
}

// Create creates a program tree and returns the id of its root.
func (h *Home) Create(ctx context.Context, team, deployment string, budget hawthornrail.Budget) (hawthornrail.ProgramID, error) {
	id := hawthornrail.NewProgramID(h.deps.Replicator.Holding(), h.lastNumber.Add(1), team, h.deps.Secret)
	e := newEntry(ledger.NewTree(id))
	e.mu.Lock()
	defer e.mu.Unlock()
	change := hawthornrail.NewCreateTree(team, deployment, budget, h.deps.Clock.Now())
	if err := h.step(ctx, e, change); err != nil {
		return id, err
	}
	h.deps.Log.Event(events.ProgramCreated).Str("program", id.String()).Str("team", team).Emit()
	return id, nil
}

// CreateChild creates a sub-agent with a share of its parent's budget.
func (h *Home) CreateChild(ctx context.Context, parent hawthornrail.ProgramID, budget hawthornrail.Budget) (hawthornrail.ProgramID, error) {
	e, err := h.entry(parent)
	if err != nil {
		return parent, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	index := uint32(len(e.tree.Programs()))
	change := hawthornrail.NewCreateChild(parent.Index(), budget, h.deps.Clock.Now())
	if err := h.step(ctx, e, change); err != nil {
		return parent, err
	}
	return parent.Child(index), nil
}

// End ends a program and its sub-agents; ending it again does nothing.
func (h *Home) End(ctx context.Context, id hawthornrail.ProgramID, reason string) error {
	e, err := h.entry(id)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p, err := e.tree.Program(id.Index())
	if err != nil {
		return ledgerFailure(err)
	}
	if p.Ended() != "" {
		return nil
	}
	return h.end(ctx, e, p, reason)
}

// step replicates a change and then applies it. The caller must hold the
// entry's lock. After a step of unknown outcome, the backup's copy of the tree
// is replaced first.
func (h *Home) step(ctx context.Context, e *entry, change hawthornrail.Change) error {
	s := e.tree.Next(change)
	if err := e.tree.Check(s); err != nil {
		return ledgerFailure(err)
	}
	if e.needsSync && e.tree.Sequence() > 0 {
		if err := h.deps.Replicator.Sync(ctx, e.tree.Steps()); err != nil {
			return err
		}
		e.needsSync = false
	}
	err := h.deps.Replicator.Replicate(ctx, s, func() error { return h.apply(e, s) })
	if err != nil {
		e.needsSync = true
		return err
	}
	e.notifyWaiters()
	return nil
}

func (h *Home) apply(e *entry, s hawthornrail.Step) error {
	if err := e.tree.Apply(s); err != nil {
		return ledgerFailure(err)
	}
	if s.Sequence() == 1 {
		h.put(e)
	}
	return nil
}

// ledgerFailure converts an error of the ledger to the failure that is returned
// to the caller.
func ledgerFailure(err error) error {
	code := hawthornrail.CodeInternal
	switch {
	case errors.Is(err, ledger.ErrEnded):
		code = hawthornrail.CodeProgramEnded
	case errors.Is(err, ledger.ErrBudget):
		code = hawthornrail.CodeBudget
	case errors.Is(err, ledger.ErrCallOrder):
		code = hawthornrail.CodeCallOrder
	case errors.Is(err, ledger.ErrCallState):
		code = hawthornrail.CodeCallConflict
	case errors.Is(err, ledger.ErrUnknownProgram):
		code = hawthornrail.CodeUnknownProgram
	}
	return hawthornrail.NewFailure(code, hawthornrail.VerdictNotRun, err)
}

// Count returns the number of trees held and how many of them have not ended.
func (h *Home) Count() (held, live int) {
	for i := range h.shards {
		for _, e := range h.shards[i].entries() {
			held++
			e.mu.Lock()
			if !e.tree.Ended() {
				live++
			}
			e.mu.Unlock()
		}
	}
	return held, live
}

func (s *shard) entries() []*entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]*entry, 0, len(s.trees))
	for _, e := range s.trees {
		entries = append(entries, e)
	}
	return entries
}

// waitChange waits until the tree changes, wait has elapsed or ctx ends.
func (h *Home) waitChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	select {
	case <-changed:
		return nil
	case <-h.deps.Clock.After(wait):
		return errWaitTimeout
	case <-ctx.Done():
		return fmt.Errorf("wait for an earlier call: %w", ctx.Err())
	}
}

var errWaitTimeout = errors.New("wait is over")
