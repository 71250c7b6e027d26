package rate

import (
	"slices"
	"time"

	"hawthornrail.example/hawthornrail/internal/team/share"
)

// replyOverdueAfter is the age from which the amount of a pending request is no
// longer expected to be granted soon.
const replyOverdueAfter = 20 * time.Millisecond

// maxPromiseDelay is how long a holder may take to have promised tokens: no
// grant lives longer than GrantTTL.
const maxPromiseDelay = share.GrantTTL - share.ImmediateGrantTTL

// maxPendingSettlements bounds the settlements per holder that wait for the
// next request; older ones are dropped, as the holder ends their grants itself
// on expiry.
const maxPendingSettlements = 8

// Settlement reports to a holder that a grant is over and how many of its
// tokens are unused.
type Settlement struct {
	number uint64
	unused float64
}

// NewSettlement returns the settlement of a grant by its number.
func NewSettlement(number uint64, unused float64) Settlement {
	return Settlement{number: number, unused: unused}
}

// Number returns the number of the grant.
func (s Settlement) Number() uint64 { return s.number }

// Unused returns the unused tokens of the grant.
func (s Settlement) Unused() float64 { return s.unused }

// BorrowRequest requests tokens from a holder and settles earlier grants; a
// request for no tokens only settles.
type BorrowRequest struct {
	holder      string
	number      uint64
	amount      float64
	settlements []Settlement
	// immediate is set if a caller's request waits for the tokens.
	immediate bool
	// maxDelay is how long the holder may take to have the tokens.
	maxDelay time.Duration
}

// NewBorrowRequest returns a request to a holder under a number.
func NewBorrowRequest(holder string, number uint64, amount float64, settlements []Settlement) BorrowRequest {
	return BorrowRequest{holder: holder, number: number, amount: amount, settlements: settlements}
}

// Holder returns the name of the VM to which the request goes.
func (r BorrowRequest) Holder() string { return r.holder }

// Number returns the number of the request, which is also that of its grant.
func (r BorrowRequest) Number() uint64 { return r.number }

// Amount returns the number of tokens requested.
func (r BorrowRequest) Amount() float64 { return r.amount }

// Immediate reports whether a caller's request waits for the tokens; their
// grant then expires sooner.
func (r BorrowRequest) Immediate() bool { return r.immediate }

// MaxDelay returns how long the tokens may become usable after the reply; it is
// 0 for tokens that the holder has now.
func (r BorrowRequest) MaxDelay() time.Duration { return r.maxDelay }

// Settlements returns the settlements of earlier grants.
func (r BorrowRequest) Settlements() []Settlement { return r.settlements }

// BorrowReply is a holder's reply to a BorrowRequest.
type BorrowReply struct {
	number    uint64
	amount    float64
	remaining float64
	wait      time.Duration
	delay     time.Duration
}

// NewBorrowReply returns the reply to a request: the tokens granted, those
// remaining at the holder, and how long it has none to lend.
func NewBorrowReply(number uint64, amount, remaining float64, wait time.Duration) BorrowReply {
	return BorrowReply{number: number, amount: amount, remaining: remaining, wait: wait}
}

// WithDelay returns the reply with the time after which its tokens may be used.
func (r BorrowReply) WithDelay(delay time.Duration) BorrowReply {
	r.delay = delay
	return r
}

// Number returns the number of the request.
func (r BorrowReply) Number() uint64 { return r.number }

// Amount returns the tokens granted.
func (r BorrowReply) Amount() float64 { return r.amount }

// Remaining returns the tokens that remain at the holder.
func (r BorrowReply) Remaining() float64 { return r.remaining }

// Wait returns how long it takes until the holder has a token to lend.
func (r BorrowReply) Wait() time.Duration { return r.wait }

// Delay returns the time after which the granted tokens may be used.
func (r BorrowReply) Delay() time.Duration { return r.delay }

// loan is the borrower's side of a grant: the tokens of it that are not used
// yet.
type loan struct {
	holder string
	number uint64
	unused float64
	// usableAt is later than the reply for tokens that the holder promised.
	usableAt  time.Time
	expiresAt time.Time
}

// pendingRequest is a BorrowRequest without a reply.
type pendingRequest struct {
	holder  string
	amount  float64
	sentAt  time.Time
	ttl     time.Duration
	promise bool
}

// Borrower holds the tokens that one VM has borrowed for a team.
type Borrower struct {
	lastNumber  uint64
	pending     map[uint64]pendingRequest
	loans       []loan
	settlements map[string][]Settlement
}

// NewBorrower returns a borrower without tokens.
func NewBorrower() *Borrower { return &Borrower{} }

// Tokens returns the borrowed tokens that may be used now.
func (b *Borrower) Tokens(now time.Time) float64 {
	b.expire(now)
	var sum float64
	for _, l := range b.loans {
		if !now.Before(l.usableAt) {
			sum += l.unused
		}
	}
	return sum
}

// Promised returns the borrowed tokens that may be used later, and when the
// first of them may be; the time is zero if there are none.
func (b *Borrower) Promised(now time.Time) (tokens float64, first time.Time) {
	b.expire(now)
	for _, l := range b.loans {
		if !now.Before(l.usableAt) {
			continue
		}
		tokens += l.unused
		if first.IsZero() || l.usableAt.Before(first) {
			first = l.usableAt
		}
	}
	return tokens, first
}

// Take uses up to amount tokens, those that expire first, and returns how many.
func (b *Borrower) Take(amount float64, now time.Time) float64 {
	b.expire(now)
	var taken float64
	for i := range b.loans {
		if now.Before(b.loans[i].usableAt) {
			continue
		}
		used := min(amount-taken, b.loans[i].unused)
		b.loans[i].unused -= used
		taken += used
	}
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool {
		if l.unused <= 0 {
			b.settle(l)
		}
		return l.unused <= 0
	})
	return taken
}

// Request returns a request for an amount, sent to a holder now.
func (b *Borrower) Request(holder string, amount float64, now time.Time) BorrowRequest {
	return b.newRequest(pendingRequest{holder: holder, amount: amount, sentAt: now, ttl: share.GrantTTL})
}

// RequestImmediate is Request for tokens that a caller's request waits for.
func (b *Borrower) RequestImmediate(holder string, amount float64, now time.Time) BorrowRequest {
	request := b.newRequest(pendingRequest{holder: holder, amount: amount, sentAt: now, ttl: share.ImmediateGrantTTL})
	request.immediate = true
	return request
}

// RequestPromise returns a request for an amount that the holder may have only
// after a delay.
func (b *Borrower) RequestPromise(holder string, amount float64, maxDelay time.Duration, now time.Time) BorrowRequest {
	request := b.newRequest(pendingRequest{holder: holder, amount: amount, sentAt: now, ttl: share.GrantTTL, promise: true})
	request.maxDelay = maxDelay
	return request
}

// newRequest returns the next request, with the settlements for its holder. One
// for no tokens is not pending.
func (b *Borrower) newRequest(p pendingRequest) BorrowRequest {
	b.lastNumber++
	if p.amount > 0 {
		if b.pending == nil {
			b.pending = make(map[uint64]pendingRequest)
		}
		b.pending[b.lastNumber] = p
	}
	settlements := b.settlements[p.holder]
	delete(b.settlements, p.holder)
	return BorrowRequest{holder: p.holder, number: b.lastNumber, amount: p.amount, settlements: settlements}
}

// Requested returns the requested tokens that may still be granted soon or
// promised, and whether a request to the holder is pending.
func (b *Borrower) Requested(holder string, now time.Time) (float64, bool) {
	b.expire(now)
	var sum float64
	requested := false
	for _, p := range b.pending {
		if p.promise || now.Sub(p.sentAt) < replyOverdueAfter {
			sum += p.amount
		}
		requested = requested || p.holder == holder
	}
	return sum, requested
}

// Abandon drops the pending requests to a holder; late replies to them are
// ignored.
func (b *Borrower) Abandon(holder string) {
	for number, p := range b.pending {
		if p.holder == holder {
			delete(b.pending, number)
		}
	}
}

// HandleReply adds the loan that a reply grants; a second reply to the same
// request is ignored. It reports whether the request was for promised tokens.
func (b *Borrower) HandleReply(r BorrowReply, now time.Time) (promise bool) {
	p, ok := b.pending[r.number]
	if !ok {
		return false
	}
	delete(b.pending, r.number)
	expiresAt := p.sentAt.Add(p.ttl)
	if p.promise {
		expiresAt = p.sentAt.Add(share.PromiseTTL(r.delay))
	}
	usableAt := now.Add(r.delay)
	if r.amount <= 0 || !usableAt.Before(expiresAt) {
		return p.promise
	}
	b.loans = append(b.loans, loan{holder: p.holder, number: r.number, unused: r.amount, usableAt: usableAt, expiresAt: expiresAt})
	slices.SortStableFunc(b.loans, func(x, y loan) int { return x.expiresAt.Compare(y.expiresAt) })
	return p.promise
}

// ReturnExpiring ends the loans that expire before the deadline and queues
// their settlements. Promised tokens that are not usable yet stay: a caller's
// request waits for them.
func (b *Borrower) ReturnExpiring(deadline, now time.Time) {
	b.expire(now)
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool {
		expiring := l.expiresAt.Before(deadline) && !now.Before(l.usableAt)
		if expiring {
			b.settle(l)
		}
		return expiring
	})
}

// HoldersToSettle returns the holders whose queued settlements have at least
// minUnused unused tokens together.
func (b *Borrower) HoldersToSettle(minUnused float64) []string {
	var holders []string
	for holder, settlements := range b.settlements {
		var unused float64
		for _, s := range settlements {
			unused += s.unused
		}
		if unused >= minUnused {
			holders = append(holders, holder)
		}
	}
	slices.Sort(holders)
	return holders
}

// Idle reports whether there are no loans and no pending requests.
func (b *Borrower) Idle(now time.Time) bool {
	b.expire(now)
	return len(b.loans) == 0 && len(b.pending) == 0
}

func (b *Borrower) settle(l loan) {
	if b.settlements == nil {
		b.settlements = make(map[string][]Settlement)
	}
	settlements := b.settlements[l.holder]
	settlements = settlements[max(0, len(settlements)-maxPendingSettlements+1):]
	b.settlements[l.holder] = append(settlements, Settlement{number: l.number, unused: l.unused})
}

func (b *Borrower) expire(now time.Time) {
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool { return !now.Before(l.expiresAt) })
	for number, p := range b.pending {
		if now.Sub(p.sentAt) >= share.GrantTTL {
			delete(b.pending, number)
		}
	}
}
