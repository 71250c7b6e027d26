package account

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// A program's budget is created once, at its home, which then grants parts of it
// to the other holders.
//
// A holder becomes the home if all others accept its announcement; then all of
// them have recorded the program. The first data centre decides between holders
// that announce at the same time. If a holder does not reply or is incomplete,
// the platform decides: the home claims the program there. A complete holder has
// an account for every program that was announced to all holders, so at least one
// complete holder must take part. It also has one for every program that it has
// claimed itself, so no claim is needed while all holders are complete. A holder that takes
// over from another VM is incomplete until it has listed the programs anew, and one that
// was suspended until it knows that it was not replaced.
//
// A holder that reaches neither another holder nor the platform opens an unknown
// program with its isolated share, an equal part of the budget. A home deducts
// that share for each holder that did not reply, until a late reply tells what it has given.

const (
	// announceTimeout is the timeout of an announcement or grant to another holder. It is
	// longer than the retransmission of a lost TCP segment takes, 200 ms at least: the
	// tokens of a grant that counts as lost can't be used any more.
	announceTimeout = 400 * time.Millisecond
	// claimTimeout is the timeout of a claim at the platform.
	claimTimeout = time.Second
	// platformBackoff is how long no claim is tried after one failed.
	platformBackoff = 500 * time.Millisecond
	// announceValidity is the age above which replies to an announcement are no
	// longer used.
	announceValidity = 2 * time.Second
	// resolveInterval is the mean interval between attempts to determine the homes
	// of programs with an isolated share.
	resolveInterval = 500 * time.Millisecond
)

var (
	errBusy        = errors.New("another holder is announcing the program")
	errHomeUnknown = errors.New("cannot determine whether the program has a home")
	// errNotClaimed means that no claim was tried at the platform.
	errNotClaimed = errors.New("program is not claimed at the platform")
	// errIsolated means that neither another holder nor the platform could be
	// reached to determine the home.
	errIsolated = errors.New("neither another holder nor the platform replies")
)

// ensureOpen opens a program's account at this holder if there is none, with the
// whole budget if the holder becomes the program's home.
func (h *Holder) ensureOpen(ctx context.Context, program string, budget, callTokens uint64) error {
	for {
		h.mu.Lock()
		if _, known := h.balances.Home(program); known {
			h.mu.Unlock()
			return nil
		}
		pending, inProgress := h.opening[program]
		if !inProgress {
			pending = make(chan struct{})
			h.opening[program] = pending
		}
		h.mu.Unlock()
		if !inProgress {
			defer h.finish(h.opening, program, pending)
			return h.openAccount(ctx, program, budget, callTokens)
		}
		select {
		case <-pending:
		case <-ctx.Done():
			return fmt.Errorf("wait for account of program %s: %w", program, ctx.Err())
		}
	}
}

// finish ends work on a program that is pending and wakes the calls that wait for it.
func (h *Holder) finish(pending map[string]chan struct{}, program string, done chan struct{}) {
	h.mu.Lock()
	delete(pending, program)
	h.mu.Unlock()
	close(done)
}

// openAccount determines a program's home and opens its account, with the
// isolated share if neither another holder nor the platform can be reached.
func (h *Holder) openAccount(ctx context.Context, program string, budget, callTokens uint64) error {
	decision, err := h.findHome(ctx, program, budget)
	switch {
	case errors.Is(err, errIsolated):
		return h.commit(h.balances.OpenIsolated(program, budget, h.isolatedShare(budget)))
	case err != nil:
		return err
	case decision.home != h.id:
		return h.commit(h.balances.Open(program, budget, 0, decision.home))
	}
	share := budget - min(budget, decision.tokensElsewhere)
	if err := h.commit(h.balances.Open(program, budget, share, h.id)); err != nil {
		return err
	}
	h.startReturns(program, budget, decision.unresponsive)
	h.startGrants(program, budget, callTokens)
	return nil
}
