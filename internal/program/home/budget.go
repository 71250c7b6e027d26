package home

import (
	"context"
	"errors"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
)

const (
	sweepInterval = time.Second

	reasonWallTime  = "wall time used up"
	reasonCompleted = "completed"
	reasonBudget    = "budget used up"
)

// checkWallTime rejects a call whose program has used up its wall time. The caller
// must hold the entry's lock.
func (c *call) checkWallTime(p *ledger.Program) error {
	if c.home.deps.Clock.Now().Before(c.entry.tree.Deadline(p)) {
		return nil
	}
	return hawthornrail.NotRun(hawthornrail.CodeBudget, "the program's wall time is used up")
}

// withWallTime returns a context whose deadline is the end of the program's
// wall time.
func (c *call) withWallTime(ctx context.Context) (context.Context, context.CancelFunc) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	p, err := c.entry.tree.Program(c.key.program)
	if err != nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.entry.tree.Deadline(p).Sub(c.home.deps.Clock.Now()))
}

// endExhausted ends a program whose call was rejected by its budget, if the
// call cannot succeed later either.
func (c *call) endExhausted(ctx context.Context, refusal error, tokens uint64) {
	var f *hawthornrail.Failure
	if !errors.As(refusal, &f) || f.Code() != hawthornrail.CodeBudget || f.Verdict() != hawthornrail.VerdictNotRun {
		return
	}
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	p, err := c.entry.tree.Program(c.key.program)
	if err != nil || p.Ended() != "" {
		return
	}
	reason := reasonBudget
	if c.checkWallTime(p) != nil {
		reason = reasonWallTime
	} else if !c.entry.tree.Exhausted(p, tokens) {
		return
	}
	// If this fails, the next call is rejected again or the sweeper ends the
	// program.
	_ = c.home.end(ctx, c.entry, p, reason)
}

// end replicates the step that ends a program. The caller must hold the
// entry's lock.
func (h *Home) end(ctx context.Context, e *entry, p *ledger.Program, reason string) error {
	if err := h.step(ctx, e, hawthornrail.NewEnd(p.Index(), reason)); err != nil {
		return err
	}
	h.deps.Log.Event(events.ProgramEnded).Str("program", e.tree.ID().Child(p.Index()).String()).Str("reason", reason).Emit()
	return nil
}

// RunSweeper calls Sweep periodically until ctx ends.
func (h *Home) RunSweeper(ctx context.Context) {
	for {
		if !clock.Wait(ctx, h.deps.Clock, sweepInterval) {
			return
		}
		h.Sweep(ctx)
	}
}

// Sweep ends every program that has used up its wall time.
func (h *Home) Sweep(ctx context.Context) {
	for i := range h.shards {
		for _, e := range h.shards[i].entries() {
			h.sweep(ctx, e)
		}
	}
}

func (h *Home) sweep(ctx context.Context, e *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := h.deps.Clock.Now()
	for _, p := range e.tree.Programs() {
		if p.Ended() != "" || now.Before(e.tree.Deadline(p)) {
			continue
		}
		if err := h.end(ctx, e, p, reasonWallTime); err != nil {
			return
		}
	}
}
