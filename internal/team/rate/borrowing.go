package rate

import (
	"cmp"
	"math"
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/team/share"
)

const (
	// lowWater and highWater are watermarks, given as time of the VM's own
	// demand: a VM whose tokens cover less than lowWater borrows tokens for up
	// to highWater.
	lowWater  = 50 * time.Millisecond
	highWater = 150 * time.Millisecond
	// prefetchDemand is the demand in requests per second from which a VM
	// borrows tokens before a request needs them.
	prefetchDemand = 10
	// rebalanceLevel is the fill level of the own bucket below which a VM
	// borrows from fuller ones, and minSurplus is how much fuller, as a
	// fraction of the own burst, another bucket must be.
	rebalanceLevel = 0.75
	minSurplus     = 0.25
	// nearlyFullLevel is the fill level from which another bucket is about to
	// overflow and waste its rate; a VM with room borrows from such a bucket
	// even without demand.
	nearlyFullLevel = 0.7
	// maxBorrowRequests bounds the holders from which a VM borrows at once, and
	// maxUrgentBorrowRequests does so while a caller's request waits.
	maxBorrowRequests       = 3
	maxUrgentBorrowRequests = 9
	// minPromisePause is the shortest time between a declined request for promised
	// tokens and the next one to that holder.
	minPromisePause = 100 * time.Millisecond
	// minBackoff and maxBackoff bound how long an unresponsive holder is
	// skipped; the delay doubles with each failure.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// returnMargin is how long before its expiry an unused loan is returned.
	returnMargin = share.GrantTTL / 4
)

// holderView is the last known state of another holder's bucket.
type holderView struct {
	tokens    float64
	updatedAt time.Time
	// tokenAt is when the holder has a token to lend, as far as it knows.
	tokenAt time.Time
	// blockedUntil and promiseAt are when the holder is next asked for tokens and
	// for promised ones; tokens that are returned to it may come before tokenAt.
	blockedUntil time.Time
	promiseAt    time.Time
	failures     int
}

// BorrowRequests returns the requests to send to holders now; waiting is the
// number of callers' requests that wait for a token, and latest is when the last
// of them stops waiting.
func (a *Account) BorrowRequests(waiting int, latest, now time.Time) []BorrowRequest {
	a.decay(now)
	available := a.borrower.Tokens(now) + a.bucket.Tokens(now)
	pending, _ := a.borrower.Requested("", now)
	promised, _ := a.borrower.Promised(now)
	pending += promised
	needed := a.demand * lowWater.Seconds()
	if a.demand >= prefetchDemand {
		needed++
	}
	needed += float64(waiting)
	if available+pending >= needed {
		return a.rebalance(available+pending, now)
	}
	want := float64(waiting) - available - pending
	if !a.hasLittleTraffic() {
		want = min(needed-available-pending, float64(waiting)+a.demand*highWater.Seconds())
	}
	limit := maxBorrowRequests
	if waiting > 0 {
		limit = maxUrgentBorrowRequests
	}
	newRequest := a.borrower.Request
	if a.hasLittleTraffic() {
		newRequest = a.borrower.RequestImmediate
	}
	missing := int(math.Ceil(float64(waiting) - available - pending - roundingTolerance))
	if a.hasOneLender() {
		if requests := a.requestPromises(missing, latest, now); len(requests) > 0 {
			return requests
		}
	}
	if requests := a.requestFromHolders(want, limit, newRequest, now); len(requests) > 0 {
		return requests
	}
	return a.requestPromises(missing, latest, now)
}

// hasOneLender reports whether one other VM holds the whole rate, so that no
// other holder can have tokens sooner.
func (a *Account) hasOneLender() bool {
	holders := a.transition.Plan().Holders()
	return len(holders) == 1 && holders[0].Name() != a.self.VM()
}

// requestPromises returns requests for one promised token each from the holder
// that has tokens first, which must be usable before the latest time. A VM with a
// share of its own waits for that to refill.
func (a *Account) requestPromises(tokens int, latest, now time.Time) []BorrowRequest {
	maxDelay := min(maxPromiseDelay, latest.Sub(now))
	if maxDelay <= 0 || a.hasShare() {
		return nil
	}
	holder, ok := a.earliestLender(now)
	if !ok {
		return nil
	}
	var requests []BorrowRequest
	for range min(tokens, maxUrgentBorrowRequests) {
		requests = append(requests, a.borrower.RequestPromise(holder, 1, maxDelay, now))
	}
	return requests
}

// earliestLender returns the holder that has a token first, among those that
// respond and did not just decline to promise one.
func (a *Account) earliestLender(now time.Time) (holder string, ok bool) {
	var earliest time.Time
	for _, v := range a.transition.Plan().Holders() {
		view := a.views[v.Name()]
		unresponsive := view.failures > 0 && now.Before(view.blockedUntil)
		if v.Name() == a.self.VM() || unresponsive || now.Before(view.promiseAt) {
			continue
		}
		if !ok || view.tokenAt.Before(earliest) {
			holder, earliest, ok = v.Name(), view.tokenAt, true
		}
	}
	return holder, ok
}

// NextPromised returns when the first promised token may be used; it is zero if
// there is none.
func (a *Account) NextPromised(now time.Time) time.Time {
	_, first := a.borrower.Promised(now)
	return first
}

// EarliestToken returns when a holder can have a token for the last of the
// requests that wait, as far as the holders know. It is zero if that may be at
// any time, as when tokens for all of them are promised.
func (a *Account) EarliestToken(waiting int, now time.Time) time.Time {
	pending, _ := a.borrower.Requested("", now)
	promised, _ := a.borrower.Promised(now)
	if pending+promised >= float64(waiting) || a.hasShare() {
		return time.Time{}
	}
	var earliest time.Time
	for i, v := range a.transition.Plan().Holders() {
		tokenAt := a.views[v.Name()].tokenAt
		if i == 0 || tokenAt.Before(earliest) {
			earliest = tokenAt
		}
	}
	return earliest
}

// hasLittleTraffic reports whether this VM has no share and hardly any demand,
// like most VMs for most teams in a large fleet; it then sends fewer messages.
func (a *Account) hasLittleTraffic() bool {
	return a.demand < prefetchDemand && !a.hasShare()
}

// hasShare reports whether this VM holds a share of the team's rate.
func (a *Account) hasShare() bool {
	return a.transition.Plan().Share(a.self.VM()) != share.Share{}
}

// rebalance borrows from the fullest holder before the own bucket is low,
// because a bucket that stays full wastes its rate.
func (a *Account) rebalance(available float64, now time.Time) []BorrowRequest {
	burst := a.transition.Plan().Share(a.self.VM()).Burst()
	return a.borrowHalfSurplus(available, minSurplus*burst, now)
}

// rebalanceFromFull is rebalance for when no request has arrived: it borrows
// only from a holder whose bucket is nearly full.
func (a *Account) rebalanceFromFull(now time.Time) []BorrowRequest {
	pending, _ := a.borrower.Requested("", now)
	available := a.borrower.Tokens(now) + a.bucket.Tokens(now) + pending
	burst := a.transition.Plan().Share(a.self.VM()).Burst()
	return a.borrowHalfSurplus(available, max(minSurplus*burst, nearlyFullLevel*burst-available), now)
}

// borrowHalfSurplus borrows half of the fullest holder's surplus over the
// available tokens, if the surplus is at least minAmount and the own bucket is
// below rebalanceLevel.
func (a *Account) borrowHalfSurplus(available, minAmount float64, now time.Time) []BorrowRequest {
	burst := a.transition.Plan().Share(a.self.VM()).Burst()
	if burst <= 0 || available >= rebalanceLevel*burst {
		return nil
	}
	lenders := a.lenders(now)
	if len(lenders) == 0 {
		return nil
	}
	surplus := a.estimatedTokens(lenders[0].Name(), now) - available
	if surplus < minAmount {
		return nil
	}
	return []BorrowRequest{a.borrower.Request(lenders[0].Name(), surplus/2, now)}
}

func (a *Account) requestFromHolders(want float64, limit int, newRequest func(string, float64, time.Time) BorrowRequest, now time.Time) []BorrowRequest {
	var requests []BorrowRequest
	for _, v := range a.lenders(now) {
		if want <= 0 || len(requests) == limit {
			break
		}
		requests = append(requests, newRequest(v.Name(), want, now))
		// Only half of the estimate is counted: it is often too high, and a
		// further request costs little.
		want -= max(0, a.estimatedTokens(v.Name(), now)) / 2
	}
	return requests
}

// lenders returns the holders that may have tokens, the fullest first; holders
// in the own data centre count as twice as full.
func (a *Account) lenders(now time.Time) []hawthornrail.VM {
	holders := a.transition.Plan().Holders()
	if len(holders) == 0 {
		return nil
	}
	// Without views all holders rank alike; different VMs then start at
	// different holders.
	first := (a.firstHolderOffset + int(a.borrower.lastNumber)) % len(holders)
	var lenders []hawthornrail.VM
	for _, v := range slices.Concat(holders[first:], holders[:first]) {
		_, pending := a.borrower.Requested(v.Name(), now)
		if v.Name() == a.self.VM() || pending || now.Before(a.views[v.Name()].blockedUntil) {
			continue
		}
		lenders = append(lenders, v)
	}
	slices.SortStableFunc(lenders, func(x, y hawthornrail.VM) int {
		return cmp.Compare(a.rank(y, now), a.rank(x, now))
	})
	return lenders
}

func (a *Account) rank(v hawthornrail.VM, now time.Time) float64 {
	score := max(0, a.estimatedTokens(v.Name(), now))
	if v.DataCentre() == a.self.DataCentre() {
		score *= 2
	}
	return score
}

// estimatedTokens estimates the tokens of a holder from its last reply and the
// rate of its share.
func (a *Account) estimatedTokens(vm string, now time.Time) float64 {
	vmShare := a.transition.Plan().Share(vm)
	view, ok := a.views[vm]
	if !ok {
		return vmShare.Burst()
	}
	return min(vmShare.Burst(), view.tokens+vmShare.Rate()*now.Sub(view.updatedAt).Seconds())
}

// HandleBorrowReply applies the reply of a holder.
func (a *Account) HandleBorrowReply(holder string, reply BorrowReply, now time.Time) {
	promiseAt := now
	if a.borrower.HandleReply(reply, now) && reply.Amount() <= 0 {
		promiseAt = now.Add(max(minPromisePause, min(maxEmptyPause, reply.Wait()-maxPromiseDelay)))
	}
	a.moveToBucket(now)
	if a.views == nil {
		a.views = make(map[string]holderView)
	}
	a.views[holder] = holderView{
		tokens: reply.Remaining(), updatedAt: now, tokenAt: now.Add(reply.Wait()),
		blockedUntil: now.Add(min(maxEmptyPause, reply.Wait())),
		promiseAt:    promiseAt,
	}
}

// moveToBucket moves borrowed tokens into the own bucket, where they do not
// expire, as far as they fit.
func (a *Account) moveToBucket(now time.Time) {
	a.resize(now)
	a.bucket.Put(a.borrower.Take(a.bucket.Room(now), now), now)
}

// HandleNoReply records that a holder did not reply and backs off from it.
func (a *Account) HandleNoReply(holder string, now time.Time) {
	if a.views == nil {
		a.views = make(map[string]holderView)
	}
	a.borrower.Abandon(holder)
	failures := a.views[holder].failures + 1
	pause := min(maxBackoff, minBackoff<<min(failures-1, 10))
	a.views[holder] = holderView{updatedAt: now, tokenAt: now.Add(pause), blockedUntil: now.Add(pause), failures: failures}
}

// ReturnUnused ends unused loans shortly before they expire and returns the
// requests that settle them with their holders, and those of rebalanceFromFull.
func (a *Account) ReturnUnused(now time.Time) []BorrowRequest {
	a.decay(now)
	if a.borrower.Tokens(now) > 0 {
		a.borrower.ReturnExpiring(now.Add(returnMargin), now)
	}
	var requests []BorrowRequest
	// With little traffic, a grant with few unused tokens is left to the next
	// request or to its expiry. Otherwise it is settled now, as until then it
	// takes up space in the holder's bucket.
	minUnused := 0.0
	if a.hasLittleTraffic() {
		minUnused = minReturnTokens
	}
	for _, holder := range a.borrower.HoldersToSettle(minUnused) {
		requests = append(requests, a.borrower.Request(holder, 0, now))
	}
	return append(requests, a.rebalanceFromFull(now)...)
}
