package account

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// transferTimeout is how long a call waits for the reply to a transfer request. It is
	// longer than the retransmission of a lost TCP segment takes, 200 ms at least.
	transferTimeout = 400 * time.Millisecond
	// transferGrantTimeout is how long a holder waits for its grants before it replies to a
	// transfer request. It leaves time for the reply.
	transferGrantTimeout = transferTimeout / 2
	// lateTransferTimeout is how long the reply itself is awaited: the other holder has
	// given up the tokens that it brings.
	lateTransferTimeout = 2 * time.Second
)

var (
	errNoAccount = errors.New("program has no account at the holder")
	errNoReply   = errors.New("holder has not replied in time")
	// errNotRecorded means that tokens were received and could not be recorded.
	errNotRecorded = errors.New("received tokens could not be recorded")
)

// collectResult is the result of requesting tokens from other holders.
type collectResult struct {
	tokens uint64
	// allReplied is false if a holder did not reply or had no account.
	allReplied bool
	// used are the tokens that calls have used or reserved at the holders that replied, and
	// uncounted is set if one of them does not tell.
	used      uint64
	uncounted bool
	// waited is set if tokens came otherwise: another call collected, or a grant arrived.
	waited bool
}

// isLast reports whether to collect no more: nothing came, or a holder did not
// reply.
func (r collectResult) isLast() bool { return !r.waited && (r.tokens == 0 || !r.allReplied) }

// collection is the collecting of a program's tokens for the calls that miss
// some.
type collection struct {
	calls   int
	missing uint64
	// done is closed when the call that collects now has ended; it is nil if none
	// does.
	done chan struct{}
}

// joinCollection adds a call that misses tokens to its program's collection.
func (h *Holder) joinCollection(program string, missing uint64) *collection {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.joinCollectionLocked(program, missing)
}

func (h *Holder) joinCollectionLocked(program string, missing uint64) *collection {
	c, ok := h.collections[program]
	if !ok {
		c = &collection{}
		h.collections[program] = c
	}
	c.calls++
	c.missing += missing
	return c
}

func (h *Holder) leaveCollection(program string, c *collection, missing uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.calls--
	c.missing -= missing
	if c.calls == 0 {
		delete(h.collections, program)
	}
}

// collectOnce collects what all calls of a program miss, or waits for the call
// that collects now: tokens on their way to one call are in no holder's account.
func (h *Holder) collectOnce(ctx context.Context, m *vmpb.AccountReserve, c *collection, home string) (collectResult, error) {
	wanted, current, finish := h.beginCollection(c)
	if current != nil {
		select {
		case <-current:
			return collectResult{waited: true}, nil
		case <-ctx.Done():
			return collectResult{}, fmt.Errorf("wait for calls of program %s: %w", m.GetProgram(), ctx.Err())
		}
	}
	defer finish()
	h.awaitGrants(ctx, m.GetProgram())
	return h.collect(ctx, m, wanted, home)
}

// beginCollection returns what the calls of a collection miss and the function that ends the
// collecting, or, if another call collects now, the channel that is closed at its end.
func (h *Holder) beginCollection(c *collection) (wanted uint64, current <-chan struct{}, finish func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.done != nil {
		return 0, c.done, nil
	}
	done := make(chan struct{})
	c.done = done
	return c.missing, nil, func() {
		h.mu.Lock()
		c.done = nil
		h.mu.Unlock()
		close(done)
	}
}

// topUp requests what a program's next call may lack, after any collecting that is under way
// has ended.
func (h *Holder) topUp(program string, callTokens uint64) {
	ctx := context.Background()
	for {
		h.awaitGrants(ctx, program)
		missing, c := h.joinTopUp(program, callTokens)
		if missing == 0 {
			return
		}
		_, current, finish := h.beginCollection(c)
		if current == nil {
			h.collectExactly(ctx, program, missing)
			finish()
			h.leaveCollection(program, c, missing)
			return
		}
		h.leaveCollection(program, c, missing)
		<-current
	}
}

// joinTopUp joins the collection of a program that lacks tokens here for a call.
func (h *Holder) joinTopUp(program string, callTokens uint64) (missing uint64, c *collection) {
	h.mu.Lock()
	defer h.mu.Unlock()
	missing = h.lacksLocked(program, callTokens)
	if missing == 0 {
		return 0, nil
	}
	return missing, h.joinCollectionLocked(program, missing)
}

// lacksLocked returns the tokens that a program lacks here for a call; it is 0 if this holder
// is about to exit. h.mu must be held.
func (h *Holder) lacksLocked(program string, callTokens uint64) uint64 {
	if h.leaving {
		return 0
	}
	return callTokens - min(callTokens, h.balances.Available(program))
}

// collectExactly requests tokens from one other holder after another until it has the number
// wanted. The others keep the rest: it would be lost with this holder.
func (h *Holder) collectExactly(ctx context.Context, program string, wanted uint64) {
	others := h.otherDataCentres()
	mathrand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, dc := range others {
		m := &vmpb.AccountTransfer{Program: program, Wanted: wanted, Exact: true}
		r := h.transferFrom(ctx, dc, m)
		if r.tokens >= wanted || errors.Is(r.err, errNotRecorded) {
			return
		}
		wanted -= r.tokens
	}
}

// collect requests tokens from the other holders. The home comes first: it usually has all
// remaining tokens, or has just granted this holder some.
func (h *Holder) collect(ctx context.Context, m *vmpb.AccountReserve, missing uint64, home string) (collectResult, error) {
	homeHolder, otherHolders := h.splitByHome(home)
	fromHome, err := h.collectFrom(ctx, m, missing, homeHolder)
	if err != nil || fromHome.tokens >= missing {
		return fromHome, err
	}
	if h.covers(m.GetProgram(), m.GetTokens()) {
		return collectResult{waited: true}, nil
	}
	fromOthers, err := h.collectFrom(ctx, m, missing-fromHome.tokens, otherHolders)
	return fromHome.plus(fromOthers), err
}

// covers reports whether this holder has a number of a program's tokens.
func (h *Holder) covers(program string, tokens uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.balances.Available(program) >= tokens
}

func (r collectResult) plus(o collectResult) collectResult {
	return collectResult{
		tokens: r.tokens + o.tokens, allReplied: r.allReplied && o.allReplied,
		used: r.used + o.used, uncounted: r.uncounted || o.uncounted,
	}
}

// splitByHome splits the other data centres into the home's, if its holder is
// responsive, and the rest.
func (h *Holder) splitByHome(home string) (homeHolder, otherHolders []string) {
	for _, dc := range h.otherDataCentres() {
		if dc == home && !h.holders.unresponsive(dc) {
			homeHolder = append(homeHolder, dc)
			continue
		}
		otherHolders = append(otherHolders, dc)
	}
	return homeHolder, otherHolders
}

// holderReply is what one holder replied to a request for tokens.
type holderReply struct {
	collectResult
	err error
}

// collectFrom requests tokens from several holders concurrently. An error means
// that the received tokens could not be recorded.
func (h *Holder) collectFrom(ctx context.Context, m *vmpb.AccountReserve, wanted uint64, dataCentres []string) (collectResult, error) {
	replies := make(chan holderReply, len(dataCentres))
	for _, dc := range dataCentres {
		m := &vmpb.AccountTransfer{Program: m.GetProgram(), Budget: m.GetBudget(), Wanted: wanted}
		go func() { replies <- h.transferFrom(ctx, dc, m) }()
	}
	total := collectResult{allReplied: true}
	for range dataCentres {
		r := <-replies
		r.allReplied = r.err == nil
		total = total.plus(r.collectResult)
		if errors.Is(r.err, errNotRecorded) {
			return total, r.err
		}
	}
	return total, nil
}

// transferFrom requests tokens of a program from one holder and adds them to the
// program's account. Tokens in a late reply are added too, for later calls.
func (h *Holder) transferFrom(ctx context.Context, dataCentre string, m *vmpb.AccountTransfer) holderReply {
	if h.holders.unresponsive(dataCentre) {
		return holderReply{err: errSuspected}
	}
	replied := make(chan holderReply, 1)
	go func() { replied <- h.requestTransfer(context.WithoutCancel(ctx), dataCentre, m) }()
	select {
	case r := <-replied:
		return r
	case <-h.deps.Clock.After(transferTimeout):
		h.holders.suspect(dataCentre, errNoReply)
		return holderReply{err: errNoReply}
	case <-ctx.Done():
		return holderReply{err: fmt.Errorf("wait for tokens of program %s: %w", m.GetProgram(), ctx.Err())}
	}
}

func (h *Holder) requestTransfer(ctx context.Context, dataCentre string, m *vmpb.AccountTransfer) holderReply {
	m.Id = rand.Text()
	var reply vmpb.AccountTransferReply
	err := h.holders.requestWithin(ctx, lateTransferTimeout, dataCentre, &vmpb.Open{Kind: &vmpb.Open_AccountTransfer{AccountTransfer: m}}, &reply)
	if err != nil {
		return holderReply{err: err}
	}
	if reply.GetMoved() > 0 {
		if err := h.commit(h.balances.TransferIn(m.GetProgram(), reply.GetMoved())); err != nil {
			return holderReply{err: fmt.Errorf("%w: %w", errNotRecorded, err)}
		}
	}
	r := holderReply{collectResult: collectResult{tokens: reply.GetMoved(), used: reply.GetUsed(), uncounted: !reply.GetCounted()}}
	if !reply.GetKnown() {
		// The holder may be about to become the program's home.
		r.err = errNoAccount
	}
	return r
}
