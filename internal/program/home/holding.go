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
	movedRetryAfter  = 200 * time.Millisecond
	settleRetryDelay = 200 * time.Millisecond
	idlePollInterval = 20 * time.Millisecond
)

func newEntry(tree *ledger.Tree) *entry {
	return &entry{tree: tree, claimed: make(map[callKey]bool), changed: make(chan struct{})}
}

func movedFailure(id hawthornrail.ProgramID) *hawthornrail.Failure {
	return hawthornrail.NotRun(hawthornrail.CodeMoved, "program %s is not held here", id).WithRetryAfter(movedRetryAfter)
}

// notifyWaiters notifies the calls that wait for a change of the tree. The caller must
// hold the entry's lock.
func (e *entry) notifyWaiters() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Trees returns the trees of a holding. The caller must prevent steps while it
// uses them.
func (h *Home) Trees(holding hawthornrail.Instance) []*ledger.Tree {
	var trees []*ledger.Tree
	for _, e := range h.entries(holding) {
		trees = append(trees, e.tree)
	}
	return trees
}

func (h *Home) entries(holding hawthornrail.Instance) []*entry {
	var entries []*entry
	for i := range h.shards {
		for _, e := range h.shards[i].entries() {
			if e.tree.ID().Home() == holding {
				entries = append(entries, e)
			}
		}
	}
	return entries
}

// Adopt adds the trees of a holding that this VM has taken over.
func (h *Home) Adopt(trees []*ledger.Tree) {
	for _, t := range trees {
		h.put(newEntry(t))
	}
}

// StopAdmitting stops admitting calls of a holding; calls in flight continue.
func (h *Home) StopAdmitting(holding hawthornrail.Instance) {
	for _, e := range h.entries(holding) {
		e.mu.Lock()
		e.moved = true
		e.notifyWaiters()
		e.mu.Unlock()
	}
}

// Drop removes the trees of a holding that another VM has taken over. Calls that
// wait for one of them fail with CodeMoved, or with CodeResponseTruncated if an
// earlier attempt may have run.
func (h *Home) Drop(holding hawthornrail.Instance) {
	entries := h.entries(holding)
	for _, e := range entries {
		h.drop(e)
	}
	for _, e := range entries {
		e.mu.Lock()
		e.moved = true
		e.notifyWaiters()
		e.mu.Unlock()
	}
}

// Settle records an outcome for the calls of a holding that were pending at its
// former holder. It first waits for DispatchTimeout, after which the former
// holder can no longer send their requests.
func (h *Home) Settle(ctx context.Context, holding hawthornrail.Instance) {
	h.deps.Clock.Sleep(pair.DispatchTimeout)
	for _, e := range h.entries(holding) {
		for !h.settleTree(ctx, e) {
			h.deps.Clock.Sleep(settleRetryDelay)
			if ctx.Err() != nil || !h.deps.Replicator.Holds(holding) {
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
		h.deps.Log.Event(events.CallSettled).Str("program", e.tree.ID().Child(outcome.Program()).String()).
			Uint64("call", outcome.Number()).Emit()
	}
	return true
}

// WaitIdle waits until no call of a holding is in flight.
func (h *Home) WaitIdle(ctx context.Context, holding hawthornrail.Instance) {
	for ctx.Err() == nil && h.callsInFlight(holding) > 0 {
		h.deps.Clock.Sleep(idlePollInterval)
	}
}

func (h *Home) callsInFlight(holding hawthornrail.Instance) int {
	n := 0
	for _, e := range h.entries(holding) {
		e.mu.Lock()
		n += len(e.claimed)
		e.mu.Unlock()
	}
	return n
}
