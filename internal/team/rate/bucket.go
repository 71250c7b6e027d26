package rate

import (
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/team/share"
)

// idleRetryAfter is the retry delay for callers of a team without a rate.
const idleRetryAfter = time.Minute

// GrantID identifies a grant by the instance that requested it and the number
// of its request.
type GrantID struct {
	borrower hawthornrail.Instance
	number   uint64
}

// NewGrantID returns the id of the grant for a borrower's request.
func NewGrantID(borrower hawthornrail.Instance, number uint64) GrantID {
	return GrantID{borrower: borrower, number: number}
}

// grant is a number of tokens that a borrower may still use.
type grant struct {
	id     GrantID
	amount float64
	// usableAt is zero for tokens that the bucket had at the time of the grant.
	usableAt  time.Time
	expiresAt time.Time
}

// Bucket is the token bucket of one VM's share of a team's rate. Its tokens and
// the grants that may still be used never exceed the share's burst together. The
// tokens are negative while grants are promised whose tokens have yet to refill.
type Bucket struct {
	share        share.Share
	tokens       float64
	lent         float64
	refilledAt   time.Time
	blockedUntil time.Time
	grants       []grant
}

// NewBucket returns an empty bucket without a share in a process that started
// at the given time. It stays empty until the grants that an earlier process of
// the VM may have made have expired.
func NewBucket(started, now time.Time) *Bucket {
	return &Bucket{refilledAt: now, blockedUntil: started.Add(share.GrantReserveTime)}
}

// Resize sets the share from now on.
func (b *Bucket) Resize(newShare share.Share, now time.Time) {
	if newShare == b.share {
		b.advance(now)
		return
	}
	// The share may have shrunk at any time since the last call, so the time
	// until now counts at the lower of the two rates.
	b.share = share.NewShare(min(b.share.Rate(), newShare.Rate()), b.share.Burst())
	b.advance(now)
	b.share = newShare
	b.clamp()
}

// Tokens returns the tokens in the bucket.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.advance(now)
	return b.tokens
}

// Take takes up to amount tokens and returns how many.
func (b *Bucket) Take(amount float64, now time.Time) float64 {
	b.advance(now)
	taken := max(0, min(amount, b.tokens))
	b.tokens -= taken
	return taken
}

// Room returns how many more tokens fit into the bucket.
func (b *Bucket) Room(now time.Time) float64 {
	b.advance(now)
	if now.Before(b.blockedUntil) {
		return 0
	}
	return max(0, b.share.Burst()-b.lent-b.tokens)
}

// Put adds borrowed tokens, which another holder has deducted; they must fit.
func (b *Bucket) Put(amount float64, now time.Time) {
	b.advance(now)
	b.tokens += amount
	b.clamp()
}

// Lend deducts up to amount tokens for a borrower, reserves their space in the
// bucket for reserveTime and returns how many they are. Until then the same id
// gets the same result.
func (b *Bucket) Lend(id GrantID, amount float64, reserveTime time.Duration, now time.Time) float64 {
	b.advance(now)
	if g, ok := b.grant(id); ok {
		return g.amount
	}
	amount = min(amount, b.tokens)
	if amount <= 0 {
		return 0
	}
	b.addGrant(grant{id: id, amount: amount, expiresAt: now.Add(reserveTime)})
	return amount
}

// Promise is Lend for tokens that the bucket may yet have to refill. It deducts
// the whole amount now, behind all earlier promises, and returns how long the
// borrower must wait before it uses them. It promises nothing if that is longer
// than maxDelay.
func (b *Bucket) Promise(id GrantID, amount float64, maxDelay time.Duration, now time.Time) (delay time.Duration, ok bool) {
	b.advance(now)
	if g, known := b.grant(id); known {
		return max(0, g.usableAt.Sub(now)), true
	}
	delay = b.Wait(amount, now)
	// The refill stops while the grants fill the burst, which would make promised
	// tokens late.
	fits := b.lent+amount <= b.share.Burst()
	if amount <= 0 || delay > maxDelay || !fits {
		return 0, false
	}
	b.addGrant(grant{id: id, amount: amount, usableAt: now.Add(delay), expiresAt: now.Add(share.PromiseReserveTime(delay))})
	return delay, true
}

func (b *Bucket) grant(id GrantID) (grant, bool) {
	for _, g := range b.grants {
		if g.id == id {
			return g, true
		}
	}
	return grant{}, false
}

func (b *Bucket) addGrant(g grant) {
	b.tokens -= g.amount
	b.lent += g.amount
	b.grants = append(b.grants, g)
	slices.SortStableFunc(b.grants, func(x, y grant) int { return x.expiresAt.Compare(y.expiresAt) })
}

// Settle ends a grant that the borrower no longer uses and takes its unused
// tokens back.
func (b *Bucket) Settle(id GrantID, unused float64, now time.Time) {
	b.advance(now)
	for i, g := range b.grants {
		if g.id == id {
			b.grants = append(b.grants[:i], b.grants[i+1:]...)
			b.lent -= g.amount
			b.tokens += max(0, min(unused, g.amount))
			b.clamp()
			return
		}
	}
}

// Wait returns the time until the bucket holds an amount.
func (b *Bucket) Wait(amount float64, now time.Time) time.Duration {
	b.advance(now)
	if b.share.Rate() <= 0 || b.share.Burst() < amount {
		return idleRetryAfter
	}
	wait := time.Duration(max(0, amount-b.tokens) / b.share.Rate() * float64(time.Second))
	return wait + max(0, b.blockedUntil.Sub(now))
}

// advance ends expired grants in order of expiry and refills the bucket up to
// each expiry in turn, because an open grant takes up space that must not be
// filled for the time before it ended.
func (b *Bucket) advance(now time.Time) {
	for len(b.grants) > 0 && !now.Before(b.grants[0].expiresAt) {
		b.refill(b.grants[0].expiresAt)
		b.lent -= b.grants[0].amount
		b.grants = b.grants[1:]
	}
	if len(b.grants) == 0 {
		b.grants, b.lent = nil, 0
	}
	b.refill(now)
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed > 0 {
		b.refilledAt = now
	}
	if now.Before(b.blockedUntil) || elapsed <= 0 {
		b.clamp()
		return
	}
	b.tokens += b.share.Rate() * min(elapsed, now.Sub(b.blockedUntil)).Seconds()
	b.clamp()
}

// clamp removes tokens that the share has no room for; what is owed to promised
// grants stays.
func (b *Bucket) clamp() {
	b.tokens = min(b.tokens, max(0, b.share.Burst()-b.lent))
}
