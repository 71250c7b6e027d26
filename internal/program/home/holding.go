package home

import (
	"context"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
	"hawthornrail.example/hawthornrail/internal/program/pair"
)

const (
	movedRetryAfter = 200 * time.Millisecond
	settleRetry     = 200 * time.Millisecond
	idlePoll        = 20 * time.Millisecond
)

func newEntry(tree *ledger.Tree) *entry {
	return &entry{tree: tree, claimed: make(map[callKey]bool), changed: make(chan struct{})}
}

func movedFailure(id hawthornrail.ProgramID) *hawthornrail.Failure {
	return hawthornrail.NotRun(hawthornrail.CodeMoved, "program %s is not held here", id).WithRetryAfter(movedRetryAfter)
}

// wake lets the calls that wait for the tree look at it again.
func (e *entry) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Trees returns the trees of a holding; the caller keeps steps from being
// taken meanwhile.
func (h *Home) Trees(holding hawthornrail.Instance) []*ledger.Tree {
	var trees []*ledger.Tree
	for _, e := range h.entries(holding) {
		trees = append(trees, e.tree)
	}
	return trees
}

func (h *Home) entries(holding hawthornrail.Instance) []*entry {
	var list []*entry
	for i := range h.shards {
		for _, e := range h.shards[i].entries() {
			if e.tree.ID().Home() == holding {
				list = append(list, e)
			}
		}
	}
	return list
}

// Adopt takes over the trees of a holding.
func (h *Home) Adopt(trees []*ledger.Tree) {
	for _, t := range trees {
		h.put(newEntry(t))
	}
}

// Close takes no more calls of a holding; those under way go on.
func (h *Home) Close(holding hawthornrail.Instance) {
	for _, e := range h.entries(holding) {
		e.mu.Lock()
		e.moved = true
		e.wake()
		e.mu.Unlock()
	}
}

// Drop forgets the trees of a holding that another VM holds now; calls that
// wait for one are told to go there.
func (h *Home) Drop(holding hawthornrail.Instance) {
	entries := h.entries(holding)
	for _, e := range entries {
		h.drop(e)
	}
	for _, e := range entries {
		e.mu.Lock()
		e.moved = true
		e.wake()
		e.mu.Unlock()
	}
}

// Settle records the outcome of the calls of a holding that were pending at
// its former holder, once no request of theirs can be sent any more.
func (h *Home) Settle(ctx context.Context, holding hawthornrail.Instance) {
	h.parts.Clock.Sleep(pair.DispatchTimeout)
	for _, e := range h.entries(holding) {
		for !h.settleTree(ctx, e) {
			h.parts.Clock.Sleep(settleRetry)
			if ctx.Err() != nil || !h.parts.Replicator.Holds(holding) {
				return
			}
		}
	}
}

func (h *Home) settleTree(ctx context.Context, e *entry) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, outcome := range e.tree.Unresolved() {
		if e.claimed[callKey{outcome.Program(), outcome.Number()}] {
			continue
		}
		if err := h.step(ctx, e, outcome); err != nil {
			return false
		}
		h.parts.Log.Event(events.CallSettled).Str("program", e.tree.ID().Child(outcome.Program()).String()).
			Uint64("call", outcome.Number()).Emit()
	}
	return true
}

// Idle waits until no call of a holding is under way.
func (h *Home) Idle(ctx context.Context, holding hawthornrail.Instance) {
	for ctx.Err() == nil && h.underWay(holding) > 0 {
		h.parts.Clock.Sleep(idlePoll)
	}
}

func (h *Home) underWay(holding hawthornrail.Instance) int {
	n := 0
	for _, e := range h.entries(holding) {
		e.mu.Lock()
		n += len(e.claimed)
		e.mu.Unlock()
	}
	return n
}
