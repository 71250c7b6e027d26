package account

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// A program's budget is made once, at its home, which then gives parts of it to
// the other holders.
//
// A holder becomes the home if all others accept it; then all of them know the
// program. The first data centre decides between holders that try at once. If
// a holder does not answer or is not whole, the platform decides: the home
// claims the program there. A whole holder knows every program that all were
// told of, so one must take part; and it knows all that it has claimed itself,
// so nothing needs to be claimed while all are whole.
//
// A holder that reaches neither another one nor the platform gives a program
// that it does not know its isolated share, an equal part of the budget. A home
// leaves that share to each holder that did not answer.

const (
	// announceTimeout bounds how long another holder is waited for.
	announceTimeout = 120 * time.Millisecond
	// claimTimeout bounds how long the platform is waited for.
	claimTimeout = time.Second
	// awayPause is how long the platform is not asked after it did not answer.
	awayPause = 500 * time.Millisecond
	// settleLimit is the age from which answers do not count any more.
	settleLimit = 2 * time.Second
	// joinInterval is the mean time after which others are asked about programs
	// that got their isolated share.
	joinInterval = 500 * time.Millisecond
)

var (
	errBusy    = errors.New("another holder announces the program at this moment")
	errUnknown = errors.New("it is not known whether the program has a home")
	// errUnclaimed means that the platform was not asked, and errIsolated that
	// nobody could be.
	errUnclaimed = errors.New("program is not claimed")
	errIsolated  = errors.New("neither a holder nor the platform answers")
)

// open makes sure that a program has an account here, with the whole budget if
// this holder becomes its home.
func (h *Holder) open(ctx context.Context, program string, budget, call uint64) error {
	for {
		h.mu.Lock()
		if _, known := h.book.Home(program); known {
			h.mu.Unlock()
			return nil
		}
		pending, other := h.opening[program]
		if !other {
			pending = make(chan struct{})
			h.opening[program] = pending
		}
		h.mu.Unlock()
		if !other {
			defer h.opened(program, pending)
			return h.settle(ctx, program, budget, call)
		}
		select {
		case <-pending:
		case <-ctx.Done():
			return fmt.Errorf("wait for account of program %s: %w", program, ctx.Err())
		}
	}
}

func (h *Holder) opened(program string, pending chan struct{}) {
	h.mu.Lock()
	delete(h.opening, program)
	h.mu.Unlock()
	close(pending)
}

// settle opens a program's account once its home is known, or with the
// isolated share if nobody can be asked.
func (h *Holder) settle(ctx context.Context, program string, budget, call uint64) error {
	v, err := h.findHome(ctx, program, budget)
	switch {
	case errors.Is(err, errIsolated):
		return h.record(h.book.OpenIsolated(program, budget, h.isolatedShare(budget)))
	case err != nil:
		return err
	case v.home != h.id:
		return h.record(h.book.Open(program, budget, 0, v.home))
	}
	share := budget - min(budget, v.elsewhere)
	if err := h.record(h.book.Open(program, budget, share, h.id)); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.granting[program] = done
	h.mu.Unlock()
	go func() {
		defer h.granted(program, done)
		h.grantParts(program, budget, call)
	}()
	return nil
}
