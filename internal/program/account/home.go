package account

import (
	"context"
	"errors"
	"fmt"

	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// announceResult combines the replies of other holders to an announcement.
type announceResult struct {
	// unresponsive are the data centres whose holders did not reply.
	unresponsive []string
	// homeKnown is set if a holder has recorded another home.
	homeKnown bool
	// busy is set if a holder is announcing the program itself.
	busy bool
	home string
	// anyComplete and anyIncomplete are set if a holder that accepted is
	// complete or incomplete.
	anyComplete   bool
	anyIncomplete bool
	// isolatedTokens is the sum of the isolated shares that the accepting
	// holders have given.
	isolatedTokens uint64
}

func (o *announceResult) merge(other announceResult) {
	o.unresponsive = append(o.unresponsive, other.unresponsive...)
	o.homeKnown = o.homeKnown || other.homeKnown
	o.busy = o.busy || other.busy
	o.anyComplete = o.anyComplete || other.anyComplete
	o.anyIncomplete = o.anyIncomplete || other.anyIncomplete
	o.isolatedTokens += other.isolatedTokens
	if other.homeKnown {
		o.home = other.home
	}
}

// homeDecision is the result of findHome.
type homeDecision struct {
	// home is the ID of the journal that has the budget. It is the holder's own
	// if the holder is the home.
	home string
	// tokensElsewhere are the tokens that other holders have or may have: the
	// isolated shares of those that replied and of the unresponsive ones.
	tokensElsewhere uint64
	// unresponsive are the data centres whose isolated shares tokensElsewhere contains
	// without a reply.
	unresponsive []string
}

// findHome determines the home of a program from the other holders and the
// platform. This holder becomes the home if there is none yet.
func (h *Holder) findHome(ctx context.Context, program string, budget uint64) (homeDecision, error) {
	start := h.deps.Clock.Now()
	others := h.otherDataCentres()
	m := &vmpb.AccountAnnounce{Program: program, Budget: budget, Home: h.id}
	var combined announceResult
	claimErr := errNotClaimed
	if len(others) > 0 && h.deps.DataCentres[0] != h.deps.DataCentre {
		combined = h.announce(ctx, others[0], m)
		others = others[1:]
	}
	if len(combined.unresponsive) > 0 {
		winner, err := h.claim(ctx, program)
		if err == nil && winner != h.id {
			return homeDecision{home: winner}, nil
		}
		claimErr = err
	}
	if !combined.homeKnown && !combined.busy {
		combined.merge(h.announceAll(ctx, others, m))
	}
	complete := h.Complete()
	switch {
	case combined.homeKnown:
		return homeDecision{home: combined.home}, nil
	case combined.busy:
		return homeDecision{}, errBusy
	case !complete && !combined.anyComplete || h.deps.Clock.Since(start) > announceValidity:
		return homeDecision{}, errHomeUnknown
	}
	if errors.Is(claimErr, errNotClaimed) && (len(combined.unresponsive) > 0 || combined.anyIncomplete || !complete) {
		winner, err := h.claim(ctx, program)
		if err == nil && winner != h.id {
			return homeDecision{home: winner}, nil
		}
		claimErr = err
	}
	switch {
	case claimErr == nil, errors.Is(claimErr, errNotClaimed):
		unknown := uint64(len(combined.unresponsive)) * h.isolatedShare(budget)
		return homeDecision{home: h.id, tokensElsewhere: combined.isolatedTokens + unknown, unresponsive: combined.unresponsive}, nil
	case complete && len(combined.unresponsive) == len(h.deps.DataCentres)-1:
		return homeDecision{}, errIsolated
	default:
		return homeDecision{}, claimErr
	}
}

// announceAll announces a program to several holders concurrently.
func (h *Holder) announceAll(ctx context.Context, dataCentres []string, m *vmpb.AccountAnnounce) announceResult {
	results := make(chan announceResult, len(dataCentres))
	for _, dc := range dataCentres {
		go func() { results <- h.announce(ctx, dc, m) }()
	}
	var combined announceResult
	for range dataCentres {
		combined.merge(<-results)
	}
	return combined
}

// otherDataCentres returns the data centres of the other holders, in the order
// of DataCentres.
func (h *Holder) otherDataCentres() []string {
	var others []string
	for _, dc := range h.deps.DataCentres {
		if dc != h.deps.DataCentre {
			others = append(others, dc)
		}
	}
	return others
}

func (h *Holder) announce(ctx context.Context, dataCentre string, m *vmpb.AccountAnnounce) announceResult {
	if h.holders.unresponsive(dataCentre) {
		return announceResult{unresponsive: []string{dataCentre}}
	}
	var reply vmpb.AccountAnnounceReply
	err := h.holders.request(ctx, announceTimeout, dataCentre, &vmpb.Open{Kind: &vmpb.Open_AccountAnnounce{AccountAnnounce: m}}, &reply)
	switch {
	case err != nil:
		return announceResult{unresponsive: []string{dataCentre}}
	case reply.GetBusy():
		return announceResult{busy: true}
	case !reply.GetAccepted():
		return announceResult{homeKnown: true, home: reply.GetHome()}
	default:
		return announceResult{anyComplete: reply.GetWhole(), anyIncomplete: !reply.GetWhole(), isolatedTokens: reply.GetTaken()}
	}
}

// claim claims a program at the platform and returns the ID of the journal that
// claimed it first. After a failure it does not contact the platform for
// platformBackoff.
func (h *Holder) claim(ctx context.Context, program string) (winner string, err error) {
	h.mu.Lock()
	backingOff := h.deps.Clock.Now().Before(h.platformRetryAt)
	h.mu.Unlock()
	if backingOff {
		return "", errHomeUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	start := h.deps.Clock.Now()
	winner, err = h.deps.Claims.Claim(ctx, "", program, h.id)
	h.deps.Tasks.Record(waitClaim, h.deps.Clock.Since(start))
	if err != nil {
		h.mu.Lock()
		h.platformRetryAt = h.deps.Clock.Now().Add(platformBackoff)
		h.mu.Unlock()
		return "", fmt.Errorf("%w: %w", errHomeUnknown, err)
	}
	return winner, nil
}

// HandleAnnounce handles the announcement of another holder. If it accepts, the
// record is on disk before the reply is sent.
func (h *Holder) HandleAnnounce(m *vmpb.AccountAnnounce) (*vmpb.AccountAnnounceReply, error) {
	reply := &vmpb.AccountAnnounceReply{}
	err := h.commitDecision(func() *vmpb.AccountRecord {
		if _, busy := h.opening[m.GetProgram()]; busy {
			reply.Busy = true
			return nil
		}
		reply.Whole = h.completeLocked()
		home, known := h.balances.Home(m.GetProgram())
		switch {
		case !known:
			reply.Accepted = true
			return h.balances.Open(m.GetProgram(), m.GetBudget(), 0, m.GetHome())
		case h.balances.IsIsolated(m.GetProgram()):
			reply.Accepted, reply.Taken = true, h.balances.IsolatedShare(m.GetProgram())
			return h.balances.Join(m.GetProgram(), m.GetHome(), 0)
		default:
			reply.Accepted, reply.Home, reply.Taken = home == m.GetHome(), home, h.balances.IsolatedShare(m.GetProgram())
			return nil
		}
	})
	if err != nil {
		return nil, err
	}
	return reply, nil
}
