package rate

import (
	"math"
	"math/rand/v2"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/team/share"
)

const (
	// demandWindow is the time constant of the estimate of demand.
	demandWindow = time.Second
	// maxViewAge is the age up to which the tokens that a holder last reported
	// count as current, and maxLowerBoundAge the age up to which they count as
	// a lower bound, which they are for a team within its rate.
	maxViewAge       = 25 * time.Millisecond
	maxLowerBoundAge = time.Second
	// lendingReserve is the time of its own demand for which a holder keeps
	// tokens instead of lending them.
	lendingReserve = 100 * time.Millisecond
	// maxEmptyPause bounds how long a holder without tokens is skipped.
	maxEmptyPause = 250 * time.Millisecond
	// queryInterval is the time between two state queries to a VM that has not
	// confirmed the plan, and slowQueryInterval the time between them once the
	// plan is slowQueryAfter old.
	queryInterval     = 250 * time.Millisecond
	slowQueryInterval = 2 * time.Second
	slowQueryAfter    = 5 * time.Second
	// minReturnTokens is the number of unused tokens that justifies a message
	// when demand is low.
	minReturnTokens = 0.25
	minRetryAfter   = 10 * time.Millisecond
	// roundingTolerance absorbs floating-point rounding of token sums.
	roundingTolerance = 1e-9
)

// Account is one team's rate limiter on one VM: the VM's own share, what it
// borrows and what it lends. It is not safe for concurrent use.
type Account struct {
	self              hawthornrail.Instance
	firstHolderOffset int
	transition        *share.Transition
	bucket            *Bucket
	borrower          *Borrower
	views             map[string]holderView
	queriedAt         map[string]time.Time
	planAppliedAt     time.Time
	demand            float64
	decayedAt         time.Time
	recentRefusals    float64
}

// NewAccount returns an account of an instance whose process started at the
// given time; it has no share until a plan is applied.
func NewAccount(self hawthornrail.Instance, started, now time.Time) *Account {
	return &Account{
		self:              self,
		firstHolderOffset: share.Offset(self.VM()),
		transition:        share.NewTransition(self.VM(), started),
		bucket:            NewBucket(started, now),
		borrower:          NewBorrower(),
		decayedAt:         now,
	}
}

// ApplyPlan replaces the plan by that of a newer configuration.
func (a *Account) ApplyPlan(p share.Plan, now time.Time) {
	epoch := a.transition.Epoch()
	a.resize(now)
	a.transition.ApplyPlan(p, now)
	if a.transition.Epoch() != epoch {
		a.planAppliedAt, a.queriedAt = now, nil
	}
	a.resize(now)
}

// Starting reports whether the VM must not use its share yet.
func (a *Account) Starting(now time.Time) bool { return a.transition.StartWait(now) > 0 }

func (a *Account) resize(now time.Time) { a.bucket.Resize(a.transition.Usable(now), now) }

// Admit takes one token for a request and reports whether there was one.
func (a *Account) Admit(now time.Time) bool {
	a.countArrival(now)
	return a.Retry(now)
}

// Retry is Admit for a request that is already counted as demand.
func (a *Account) Retry(now time.Time) bool {
	a.resize(now)
	if a.borrower.Tokens(now)+a.bucket.Tokens(now) < 1-roundingTolerance {
		return false
	}
	a.recentRefusals = max(0, a.recentRefusals-1)
	taken := a.borrower.Take(1, now)
	a.bucket.Take(1-taken, now)
	return true
}

// Refuse counts a request that got no token and returns the time after which
// to retry it.
func (a *Account) Refuse(now time.Time) time.Duration {
	a.decay(now)
	a.recentRefusals++
	return a.retryAfter(now)
}

func (a *Account) countArrival(now time.Time) {
	a.decay(now)
	a.demand += 1 / demandWindow.Seconds()
}

func (a *Account) decay(now time.Time) {
	if elapsed := now.Sub(a.decayedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		a.demand *= factor
		a.recentRefusals *= factor
		a.decayedAt = now
	}
}

// retryAfter returns the time until the first holder has a token, plus a
// random delay of up to the time in which the fleet can serve the recently
// refused requests, which keeps their callers from retrying all at once.
func (a *Account) retryAfter(now time.Time) time.Duration {
	wait := a.bucket.Wait(1, now)
	if start := a.transition.StartWait(now); start > 0 {
		wait = min(wait, start)
	}
	plan := a.transition.Plan()
	for _, v := range plan.Holders() {
		if v.Name() == a.self.VM() {
			continue
		}
		holderWait := maxEmptyPause
		if view, ok := a.views[v.Name()]; ok {
			holderWait = max(0, view.tokenAt.Sub(now))
		}
		wait = min(wait, holderWait)
	}
	wait = max(wait, minRetryAfter)
	total := plan.HolderRate() * float64(len(plan.Holders()))
	if total > 0 {
		spread := time.Duration(a.recentRefusals / total * float64(time.Second))
		wait += time.Duration(rand.Int64N(int64(min(spread, idleRetryAfter)) + 1))
	}
	return roundUp(wait, time.Millisecond)
}

func roundUp(d, unit time.Duration) time.Duration { return (d + unit - 1) / unit * unit }

// Level returns the estimated fraction of the team's burst that is available at
// the holders, from 0 to 1. It is 1 without a rate, and 0 if requests were
// refused recently. The level is certain if no requests at other VMs can have
// moved it across the threshold.
func (a *Account) Level(threshold float64, now time.Time) (level float64, certain bool) {
	a.decay(now)
	if a.recentRefusals >= 1 {
		return 0, true
	}
	burst, tokens, lowerBound, fresh := 0.0, 0.0, 0.0, true
	for _, v := range a.transition.Plan().Holders() {
		burst += a.transition.Plan().Share(v.Name()).Burst()
		if v.Name() == a.self.VM() {
			tokens += a.bucket.Tokens(now)
			lowerBound += a.bucket.Tokens(now)
			continue
		}
		view := a.views[v.Name()]
		tokens += a.estimatedTokens(v.Name(), now)
		if now.Sub(view.updatedAt) <= maxLowerBoundAge {
			lowerBound += view.tokens
		}
		fresh = fresh && now.Sub(view.updatedAt) <= maxViewAge
	}
	if burst <= 0 {
		return 1, true
	}
	level = min(1, tokens/burst)
	return level, fresh || level < threshold || lowerBound/burst >= threshold
}

// LevelRequests returns requests for no tokens, whose replies say what the
// holders have left; it omits holders with a current view and unresponsive
// ones.
func (a *Account) LevelRequests(now time.Time) []BorrowRequest {
	var requests []BorrowRequest
	for _, v := range a.transition.Plan().Holders() {
		view := a.views[v.Name()]
		if v.Name() == a.self.VM() || now.Before(view.blockedUntil) && view.failures > 0 || now.Sub(view.updatedAt) <= maxViewAge {
			continue
		}
		requests = append(requests, a.borrower.Request(v.Name(), 0, now))
	}
	return requests
}

// Lend serves the borrow request of another VM.
func (a *Account) Lend(from hawthornrail.Instance, request BorrowRequest, now time.Time) BorrowReply {
	a.resize(now)
	a.decay(now)
	for _, s := range request.Settlements() {
		a.bucket.Settle(NewGrantID(from, s.Number()), s.Unused(), now)
	}
	id := NewGrantID(from, request.Number())
	if request.MaxDelay() > 0 {
		return a.promise(id, request, now)
	}
	tokens := a.bucket.Tokens(now)
	limit := max(tokens/2, tokens-a.demand*lendingReserve.Seconds())
	reserveTime := share.GrantReserveTime
	if request.Immediate() {
		reserveTime = share.ImmediateGrantReserveTime
	}
	amount := a.bucket.Lend(id, min(request.Amount(), limit), reserveTime, now)
	var wait time.Duration
	if request.Amount() > 0 && amount < min(1, request.Amount()) {
		wait = a.lendingWait(min(1, request.Amount()), now)
	}
	return BorrowReply{number: request.Number(), amount: amount, remaining: a.bucket.Tokens(now), wait: wait}
}

// promise serves a request for tokens that the bucket may yet have to refill.
func (a *Account) promise(id GrantID, request BorrowRequest, now time.Time) BorrowReply {
	reply := BorrowReply{number: request.Number()}
	if delay, ok := a.bucket.Promise(id, request.Amount(), request.MaxDelay(), now); ok {
		reply.amount, reply.delay = request.Amount(), delay
	}
	reply.remaining, reply.wait = a.bucket.Tokens(now), a.lendingWait(request.Amount(), now)
	return reply
}

// lendingWait returns the time until the bucket holds an amount to lend. While
// the VM starts, that depends on the other holders; then it is the time after
// which to ask again.
func (a *Account) lendingWait(amount float64, now time.Time) time.Duration {
	if a.Starting(now) {
		return maxEmptyPause
	}
	return a.bucket.Wait(amount, now)
}

// DueStateQueries returns the VMs that have not confirmed the plan and to which
// State is due to be sent.
func (a *Account) DueStateQueries(now time.Time) []string {
	interval := queryInterval
	if now.Sub(a.planAppliedAt) >= slowQueryAfter {
		interval = slowQueryInterval
	}
	var due []string
	for _, vm := range a.transition.Unconfirmed() {
		if last, ok := a.queriedAt[vm]; ok && now.Sub(last) < interval {
			continue
		}
		if a.queriedAt == nil {
			a.queriedAt = make(map[string]time.Time)
		}
		a.queriedAt[vm] = now
		due = append(due, vm)
	}
	return due
}

// State returns the state of this VM's plan and the epoch to pass with a reply
// to it.
func (a *Account) State(now time.Time) (share.State, uint64) {
	return a.transition.State(now), a.transition.Epoch()
}

// HandleState applies an unsolicited state that another VM sent.
func (a *Account) HandleState(s share.State, now time.Time) {
	a.resize(now)
	a.transition.HandleState(s, now)
	a.resize(now)
}

// SetStopped records whether a VM has provably stopped using its share.
func (a *Account) SetStopped(vm string, stopped bool, now time.Time) {
	a.resize(now)
	a.transition.SetStopped(vm, stopped, now)
	a.resize(now)
}

// HandleStateReply applies the reply to a state that this VM sent in an epoch.
func (a *Account) HandleStateReply(epoch uint64, s share.State, now time.Time) {
	a.resize(now)
	a.transition.HandleStateReply(epoch, s, now)
	a.resize(now)
}

// Idle reports whether the account can be removed without losing state.
func (a *Account) Idle(now time.Time) bool {
	a.decay(now)
	return a.transition.Complete() && !a.hasShare() &&
		a.demand < 0.01 && a.borrower.Idle(now) && len(a.bucket.grants) == 0
}
