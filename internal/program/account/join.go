package account

import (
	"context"
	"math/rand/v2"

	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

// isolatedShare is what each holder may give alone.
func (h *Holder) isolatedShare(budget uint64) uint64 {
	return budget / uint64(len(h.parts.DataCentres))
}

// Join finds the homes of programs that got their isolated share, once others
// can be asked again; it runs until ctx ends.
func (h *Holder) Join(ctx context.Context) {
	for {
		if !clock.Wait(ctx, h.parts.Clock, joinInterval/2+rand.N(joinInterval)) {
			return
		}
		h.JoinOnce(ctx)
	}
}

// JoinOnce is one round of Join; it ends at the first program whose home can't
// be found yet.
func (h *Holder) JoinOnce(ctx context.Context) {
	h.mu.Lock()
	isolated := h.book.Isolated()
	h.mu.Unlock()
	for program, budget := range isolated {
		if err := h.join(ctx, program, budget); err != nil {
			h.parts.Log.Event(events.AccountFailed).Str("program", program).Err(err).Emit()
			return
		}
	}
}

func (h *Holder) join(ctx context.Context, program string, budget uint64) error {
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
	defer h.opened(program, pending)
	v, err := h.findHome(ctx, program, budget)
	if err != nil {
		return err
	}
	tokens := uint64(0)
	if v.home == h.id {
		elsewhere := v.elsewhere + h.isolatedShare(budget)
		tokens = budget - min(budget, elsewhere)
	}
	return h.record(h.book.Join(program, v.home, tokens))
}
