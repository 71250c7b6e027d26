package account

import (
	"context"
	"errors"
	"fmt"

	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

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
	if h.holders.silent(dataCentre) {
		return offer{silent: 1}
	}
	var reply vmpb.AccountAnnounceReply
	err := h.holders.ask(ctx, announceTimeout, dataCentre, &vmpb.Open{Kind: &vmpb.Open_AccountAnnounce{AccountAnnounce: m}}, &reply)
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
	start := h.parts.Clock.Now()
	winner, err = h.parts.Claims.Claim(ctx, "", program, h.id)
	h.parts.Work.Took(taskClaim, h.parts.Clock.Since(start))
	if err != nil {
		h.mu.Lock()
		h.away = h.parts.Clock.Now().Add(awayPause)
		h.mu.Unlock()
		return "", fmt.Errorf("%w: %w", errUnknown, err)
	}
	return winner, nil
}

// Announced takes the announcement of another holder; what it accepts is on
// the disk before it answers.
func (h *Holder) Announced(m *vmpb.AccountAnnounce) (*vmpb.AccountAnnounceReply, error) {
	reply := &vmpb.AccountAnnounceReply{}
	err := h.decide(func() *vmpb.AccountRecord {
		if _, busy := h.opening[m.GetProgram()]; busy {
			reply.Busy = true
			return nil
		}
		reply.Whole = h.book.Whole()
		home, known := h.book.Home(m.GetProgram())
		switch {
		case !known:
			reply.Accepted = true
			return h.book.Open(m.GetProgram(), m.GetBudget(), 0, m.GetHome())
		case h.book.IsIsolated(m.GetProgram()):
			reply.Accepted, reply.Taken = true, h.book.Taken(m.GetProgram())
			return h.book.Join(m.GetProgram(), m.GetHome(), 0)
		default:
			reply.Accepted, reply.Home, reply.Taken = home == m.GetHome(), home, h.book.Taken(m.GetProgram())
			return nil
		}
	})
	if err != nil {
		return nil, err
	}
	return reply, nil
}
