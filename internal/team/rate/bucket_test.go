package rate_test

import "time"

// bucket is a reference token bucket; it starts empty.
type bucket struct {
	rate       float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// newBucket returns an empty bucket with a rate in tokens per second.
func newBucket(rate, burst float64, now time.Time) *bucket {
	return &bucket{rate: rate, burst: burst, refilledAt: now}
}

// Take takes one token, or returns the time until there is one.
func (b *bucket) Take(now time.Time) (time.Duration, bool) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if b.rate <= 0 {
		return time.Minute, false
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), false
}

// Resize sets a new rate and burst from now on.
func (b *bucket) Resize(rate, burst float64, now time.Time) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
	}
	b.refilledAt = now
}
