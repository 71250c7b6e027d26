package account

import (
	"context"
	"math/rand/v2"

	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

// isolatedShare returns the part of a budget that each holder may give while it
// is isolated.
func (h *Holder) isolatedShare(budget uint64) uint64 {
	return budget / uint64(len(h.deps.DataCentres))
}

// ResolveIsolated periodically tries to determine the homes of programs with an
// isolated share. It runs until ctx is done.
func (h *Holder) ResolveIsolated(ctx context.Context) {
	for {
		if !clock.Wait(ctx, h.deps.Clock, resolveInterval/2+rand.N(resolveInterval)) {
			return
		}
		h.ResolveIsolatedOnce(ctx)
	}
}

// ResolveIsolatedOnce is one round of ResolveIsolated. It stops at the first
// program whose home cannot be determined yet.
func (h *Holder) ResolveIsolatedOnce(ctx context.Context) {
	h.mu.Lock()
	isolated := h.balances.IsolatedPrograms()
	h.mu.Unlock()
	for program, budget := range isolated {
		if err := h.resolveIsolated(ctx, program, budget); err != nil {
			h.deps.Log.Event(events.AccountFailed).Str("program", program).Err(err).Emit()
			return
		}
	}
}

func (h *Holder) resolveIsolated(ctx context.Context, program string, budget uint64) error {
	pending := make(chan struct{})
	h.mu.Lock()
	_, busy := h.opening[program]
	if !busy {
		h.opening[program] = pending
	}
	h.mu.Unlock()
	if busy {
		return errBusy
	}
	defer h.finish(h.opening, program, pending)
	decision, err := h.findHome(ctx, program, budget)
	if err != nil {
		return err
	}
	tokens := uint64(0)
	if decision.home == h.id {
		tokensElsewhere := decision.tokensElsewhere + h.isolatedShare(budget)
		tokens = budget - min(budget, tokensElsewhere)
	}
	if err := h.commit(h.balances.Join(program, decision.home, tokens)); err != nil {
		return err
	}
	h.startReturns(program, budget, decision.unresponsive)
	return nil
}
