package account

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
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

const (
	// announceTimeout bounds how long another holder is waited for.
	announceTimeout = 120 * time.Millisecond
	// claimTimeout bounds how long the platform is waited for.
	claimTimeout = time.Second
	// settleLimit is the age from which answers do not count any more.
	settleLimit = 2 * time.Second
)

var (
	errBusy    = errors.New("another holder announces the program at this moment")
	errUnknown = errors.New("it is not known whether the program has a home")
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

// offer is what the other holders have said to an announcement.
type offer struct {
	// silent is set if one did not answer, and known if one knows another home.
	silent bool
	known  bool
	busy   bool
	home   string
	// whole is set if one that has accepted is whole, and blind if one is not.
	whole bool
	blind bool
}

func (o *offer) add(p offer) {
	o.silent = o.silent || p.silent
	o.known = o.known || p.known
	o.busy = o.busy || p.busy
	o.whole = o.whole || p.whole
	o.blind = o.blind || p.blind
	if p.known {
		o.home = p.home
	}
}

// settle finds out whether this holder is the program's home.
func (h *Holder) settle(ctx context.Context, program string, budget, call uint64) error {
	start := h.parts.Clock.Now()
	others := h.others()
	m := &vmpb.AccountAnnounce{Program: program, Budget: budget, Home: h.id}
	var all offer
	claimed := false
	if len(others) > 0 && h.parts.DataCentres[0] != h.parts.DataCentre {
		all = h.announce(ctx, others[0], m)
		others = others[1:]
	}
	if all.silent {
		if done, err := h.claim(ctx, program, budget); done || err != nil {
			return err
		}
		claimed = true
	}
	if !all.known && !all.busy {
		all.add(h.announceAll(ctx, others, m))
	}
	whole := h.Whole()
	switch {
	case all.known:
		return h.record(h.book.Open(program, budget, 0, all.home))
	case all.busy:
		return errBusy
	case !whole && !all.whole || h.parts.Clock.Since(start) > settleLimit:
		return errUnknown
	}
	if !claimed && (all.silent || all.blind || !whole) {
		if done, err := h.claim(ctx, program, budget); done || err != nil {
			return err
		}
	}
	if err := h.record(h.book.Open(program, budget, budget, h.id)); err != nil {
		return err
	}
	go h.grantParts(program, budget, call)
	return nil
}

// announceAll announces a program to several holders at once.
func (h *Holder) announceAll(ctx context.Context, dataCentres []string, m *vmpb.AccountAnnounce) offer {
	results := make(chan offer, len(dataCentres))
	for _, dc := range dataCentres {
		go func() { results <- h.announce(ctx, dc, m) }()
	}
	var all offer
	for range dataCentres {
		all.add(<-results)
	}
	return all
}

// grantParts gives the other holders their parts of a budget; what does not
// arrive is lost to the program.
func (h *Holder) grantParts(program string, budget, call uint64) {
	others := h.others()
	for i, part := range Parts(budget, call, len(others)) {
		if part > 0 && !h.silent(others[i]) {
			h.grant(others[i], program, part)
		}
	}
}

func (h *Holder) grant(dataCentre, program string, part uint64) {
	h.mu.Lock()
	record, tokens := h.book.GivePart(program, part)
	var number uint64
	var err error
	if record != nil {
		number, err = h.append(record)
	}
	h.mu.Unlock()
	if record == nil || err != nil || h.journal.Wait(number) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	open := &vmpb.Open{Kind: &vmpb.Open_AccountGrant{AccountGrant: &vmpb.AccountGrant{Program: program, Tokens: tokens}}}
	if err := h.ask(ctx, dataCentre, open, &vmpb.AccountGrantReply{}); err != nil {
		h.parts.Log.Event(events.GrantLost).Str("program", program).Uint64("tokens", tokens).Err(err).Emit()
	}
}

// Granted takes the part of a program's budget that its home gives.
func (h *Holder) Granted(m *vmpb.AccountGrant) error {
	h.mu.Lock()
	record := h.book.Accept(m.GetProgram(), m.GetTokens())
	var number uint64
	var err error
	if record != nil {
		number, err = h.append(record)
	}
	h.mu.Unlock()
	if record == nil || err != nil {
		return err
	}
	return h.journal.Wait(number)
}

// others returns the data centres of the other holders, the deciding one
// first.
func (h *Holder) others() []string {
	var list []string
	for _, dc := range h.parts.DataCentres {
		if dc != h.parts.DataCentre {
			list = append(list, dc)
		}
	}
	return list
}

func (h *Holder) announce(ctx context.Context, dataCentre string, m *vmpb.AccountAnnounce) offer {
	if h.silent(dataCentre) {
		return offer{silent: true}
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var reply vmpb.AccountAnnounceReply
	err := h.ask(ctx, dataCentre, &vmpb.Open{Kind: &vmpb.Open_AccountAnnounce{AccountAnnounce: m}}, &reply)
	switch {
	case err != nil:
		return offer{silent: true}
	case reply.GetBusy():
		return offer{busy: true}
	case !reply.GetAccepted():
		return offer{known: true, home: reply.GetHome()}
	default:
		return offer{whole: reply.GetWhole(), blind: !reply.GetWhole()}
	}
}

// claim asks the platform whether this holder is the home; done reports that
// it is not, and that the account was opened without a share.
func (h *Holder) claim(ctx context.Context, program string, budget uint64) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	winner, err := h.parts.Claims.Claim(ctx, "", program, h.id)
	if err != nil {
		return false, fmt.Errorf("%w: %w", errUnknown, err)
	}
	if winner == h.id {
		return false, nil
	}
	return true, h.record(h.book.Open(program, budget, 0, winner))
}

// Announced takes the announcement of another holder; what it accepts is on
// the disk before it answers.
func (h *Holder) Announced(m *vmpb.AccountAnnounce) (*vmpb.AccountAnnounceReply, error) {
	h.mu.Lock()
	if _, busy := h.opening[m.GetProgram()]; busy {
		h.mu.Unlock()
		return &vmpb.AccountAnnounceReply{Busy: true}, nil
	}
	home, known := h.book.Home(m.GetProgram())
	whole := h.book.Whole()
	if known {
		h.mu.Unlock()
		return &vmpb.AccountAnnounceReply{Accepted: home == m.GetHome(), Home: home, Whole: whole}, nil
	}
	number, err := h.append(h.book.Open(m.GetProgram(), m.GetBudget(), 0, m.GetHome()))
	h.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := h.journal.Wait(number); err != nil {
		return nil, err
	}
	return &vmpb.AccountAnnounceReply{Accepted: true, Whole: whole}, nil
}
