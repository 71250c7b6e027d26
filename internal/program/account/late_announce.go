package account

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// lateAnnounceTimeout is how long a home waits for the holders that did not reply to its
	// announcement in time.
	lateAnnounceTimeout = 2 * time.Second
	// shareReturnTimeout is how long a call that lacks tokens waits for isolated shares that
	// may be returned. It ends before reserveTimeout.
	shareReturnTimeout = 600 * time.Millisecond
)

// startReturns announces a program's home again to the holders that did not reply in time.
// It adds their isolated shares to the account, but for what they have given, in the
// background. The announcement is sent once the home is certain: a holder that received it
// before could record one that is not the home.
func (h *Holder) startReturns(program string, budget uint64, dataCentres []string) {
	if len(dataCentres) == 0 {
		return
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.pendingReturns[program] = done
	h.mu.Unlock()
	go func() {
		defer h.finish(h.pendingReturns, program, done)
		h.returnShares(&vmpb.AccountAnnounce{Program: program, Budget: budget, Home: h.id}, dataCentres)
	}()
}

func (h *Holder) returnShares(m *vmpb.AccountAnnounce, dataCentres []string) {
	var returning sync.WaitGroup
	for _, dc := range dataCentres {
		returning.Go(func() {
			if err := h.returnShare(dc, m); err != nil {
				h.deps.Log.Event(events.AccountFailed).Str("program", m.GetProgram()).Str("data_centre", dc).Err(err).Emit()
			}
		})
	}
	returning.Wait()
}

// returnShare takes the isolated share of a data centre back. A holder that is not complete may
// not know what its predecessor has given.
func (h *Holder) returnShare(dataCentre string, m *vmpb.AccountAnnounce) error {
	var reply vmpb.AccountAnnounceReply
	open := &vmpb.Open{Kind: &vmpb.Open_AccountAnnounce{AccountAnnounce: m}}
	if err := h.holders.requestWithin(context.Background(), lateAnnounceTimeout, dataCentre, open, &reply); err != nil {
		return fmt.Errorf("isolated share is not returned: %w", err)
	}
	share := h.isolatedShare(m.GetBudget())
	if !reply.GetAccepted() || !reply.GetWhole() || reply.GetTaken() >= share {
		return nil
	}
	return h.commit(h.balances.TransferIn(m.GetProgram(), share-reply.GetTaken()))
}

// awaitReturns waits until no isolated share of a program can be returned any more, and
// reports whether it did so in time.
func (h *Holder) awaitReturns(ctx context.Context, program string) bool {
	h.mu.Lock()
	pending := h.pendingReturns[program]
	h.mu.Unlock()
	if pending == nil {
		return false
	}
	select {
	case <-pending:
		return true
	case <-h.deps.Clock.After(shareReturnTimeout):
	case <-ctx.Done():
	}
	return false
}
