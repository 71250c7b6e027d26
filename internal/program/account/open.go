package account

import (
	"context"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
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
//
// A holder that reaches neither another one nor the platform gives a program
// that it does not know its isolated share, an equal part of the budget. A home
// leaves that share to each holder that did not answer.

const (
	// announceTimeout bounds how long another holder is waited for.
	announceTimeout = 120 * time.Millisecond
	// claimTimeout bounds how long the platform is waited for.
	claimTimeout = time.Second
	// settleLimit is the age from which answers do not count any more.
	settleLimit = 2 * time.Second
	// joinInterval is the mean time after which others are asked about programs that got their
	// isolated share.
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

// offer is what the other holders have said to an announcement.
type offer struct {
	// silent counts those that did not answer; known is set if one knows another
	// home.
	silent int
	known  bool
	busy   bool
	home   string
	// whole is set if one that has accepted is whole, and blind if one is not.
	whole bool
	blind bool
	// taken are the isolated shares that those that have accepted gave.
	taken uint64
}

func (o *offer) add(p offer) {
	o.silent += p.silent
	o.known = o.known || p.known
	o.busy = o.busy || p.busy
	o.whole = o.whole || p.whole
	o.blind = o.blind || p.blind
	o.taken += p.taken
	if p.known {
		o.home = p.home
	}
}

// verdict is what a holder has found out about a program's home.
type verdict struct {
	// home is the journal that has the budget; it is the holder's own if the
	// holder is the home.
	home string
	// elsewhere are the tokens that others have, or may have: the isolated
	// shares of those that answered and of those that did not.
	elsewhere uint64
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

func (h *Holder) granted(program string, done chan struct{}) {
	h.mu.Lock()
	delete(h.granting, program)
	h.mu.Unlock()
	close(done)
}

// awaitGrants waits until no part of a program's budget is on its way from
// here, so that the holders together know where all of it is.
func (h *Holder) awaitGrants(ctx context.Context, program string) {
	h.mu.Lock()
	granting := h.granting[program]
	h.mu.Unlock()
	if granting == nil {
		return
	}
	select {
	case <-granting:
	case <-ctx.Done():
	}
}

// isolatedShare is what each holder may give alone.
func (h *Holder) isolatedShare(budget uint64) uint64 {
	return budget / uint64(len(h.parts.DataCentres))
}

// findHome asks the other holders and the platform who the home of a program
// is, which this holder becomes if nobody knows one.
func (h *Holder) findHome(ctx context.Context, program string, budget uint64) (verdict, error) {
	start := h.parts.Clock.Now()
	others := h.others()
	m := &vmpb.AccountAnnounce{Program: program, Budget: budget, Home: h.id}
	var all offer
	claimed := errUnclaimed
	if len(others) > 0 && h.parts.DataCentres[0] != h.parts.DataCentre {
		all = h.announce(ctx, others[0], m)
		others = others[1:]
	}
	if all.silent > 0 {
		winner, err := h.claim(ctx, program)
		if err == nil && winner != h.id {
			return verdict{home: winner}, nil
		}
		claimed = err
	}
	if !all.known && !all.busy {
		all.add(h.announceAll(ctx, others, m))
	}
	whole := h.Whole()
	switch {
	case all.known:
		return verdict{home: all.home}, nil
	case all.busy:
		return verdict{}, errBusy
	case !whole && !all.whole || h.parts.Clock.Since(start) > settleLimit:
		return verdict{}, errUnknown
	}
	if errors.Is(claimed, errUnclaimed) && (all.silent > 0 || all.blind || !whole) {
		winner, err := h.claim(ctx, program)
		if err == nil && winner != h.id {
			return verdict{home: winner}, nil
		}
		claimed = err
	}
	switch {
	case claimed == nil, errors.Is(claimed, errUnclaimed):
		return verdict{home: h.id, elsewhere: all.taken + uint64(all.silent)*h.isolatedShare(budget)}, nil
	case whole && all.silent == len(h.parts.DataCentres)-1:
		return verdict{}, errIsolated
	default:
		return verdict{}, claimed
	}
}

// Join finds the homes of programs that got their isolated share, once others
// can be asked again; it runs until ctx ends.
func (h *Holder) Join(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.parts.Clock.After(joinInterval/2 + mathrand.N(joinInterval)):
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
		return offer{silent: 1}
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var reply vmpb.AccountAnnounceReply
	err := h.ask(ctx, dataCentre, &vmpb.Open{Kind: &vmpb.Open_AccountAnnounce{AccountAnnounce: m}}, &reply)
	switch {
	case err != nil:
		return offer{silent: 1}
	case reply.GetBusy():
		return offer{busy: true}
	case !reply.GetAccepted():
		return offer{known: true, home: reply.GetHome()}
	default:
		return offer{whole: reply.GetWhole(), blind: !reply.GetWhole(), taken: reply.GetTaken()}
	}
}

// claim asks the platform who the home of a program is, this holder if nobody
// was before. After a failure it does not ask for a moment.
func (h *Holder) claim(ctx context.Context, program string) (winner string, err error) {
	h.mu.Lock()
	away := h.parts.Clock.Now().Before(h.away)
	h.mu.Unlock()
	if away {
		return "", errUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	winner, err = h.parts.Claims.Claim(ctx, "", program, h.id)
	if err != nil {
		h.mu.Lock()
		h.away = h.parts.Clock.Now().Add(downPause)
		h.mu.Unlock()
		return "", fmt.Errorf("%w: %w", errUnknown, err)
	}
	return winner, nil
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
	if h.book.IsIsolated(m.GetProgram()) {
		return h.joinAnnounced(m, whole)
	}
	if known {
		taken := h.book.Taken(m.GetProgram())
		h.mu.Unlock()
		return &vmpb.AccountAnnounceReply{Accepted: home == m.GetHome(), Home: home, Whole: whole, Taken: taken}, nil
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

// joinAnnounced ends a program's isolation under the home that announces it;
// it needs the lock and releases it.
func (h *Holder) joinAnnounced(m *vmpb.AccountAnnounce, whole bool) (*vmpb.AccountAnnounceReply, error) {
	taken := h.book.Taken(m.GetProgram())
	number, err := h.append(h.book.Join(m.GetProgram(), m.GetHome(), 0))
	h.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := h.journal.Wait(number); err != nil {
		return nil, err
	}
	return &vmpb.AccountAnnounceReply{Accepted: true, Whole: whole, Taken: taken}, nil
}
