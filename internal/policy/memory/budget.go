package memory

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// stallTime is how long a request that arrives may make no progress until its memory
	// is taken for others.
	stallTime = time.Second
	// progressBytes is how much of a request has to arrive to count as progress, so that
	// single bytes do not keep its memory.
	progressBytes = 1 << 10
	// smallBytes is the size up to which a request may use all of the memory; larger ones
	// leave a fraction of one in reserveShare to small ones.
	smallBytes   = 64 << 10
	reserveShare = 4
)

// ErrFull means that the requests in flight hold as much memory as they may.
var ErrFull = errors.New("requests in flight exceed their memory limit")

// Budget counts the bytes that requests in flight hold.
type Budget struct {
	total int64

	mu       sync.Mutex
	held     int64
	evicted  int64
	arriving map[*Reservation]bool
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(total int64) *Budget {
	return &Budget{total: total, arriving: make(map[*Reservation]bool)}
}

// Held returns the number of bytes that are reserved.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Evicted returns how many requests had to make room for others.
func (b *Budget) Evicted() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evicted
}

// Reservation is what one request holds. It must be released.
type Reservation struct {
	budget *Budget
	// evict ends the request while it arrives; it must not block.
	evict func()
	held  int64
	// progressAt is when the request last made progress, and unseen what has arrived since.
	progressAt time.Time
	unseen     int
}

// Reserve returns an empty reservation; evict ends its request while it arrives.
func (b *Budget) Reserve(evict func()) *Reservation { return &Reservation{budget: b, evict: evict} }

// Grow adds bytes to a reservation before they are held, or returns ErrFull; requests
// that make no progress are then ended. A request that is alone always fits.
func (r *Reservation) Grow(bytes int, now time.Time) error {
	b := r.budget
	b.mu.Lock()
	limit := b.total
	if r.held+int64(bytes) > smallBytes {
		limit -= b.total / reserveShare
	}
	missing := b.held + int64(bytes) - limit
	if missing <= 0 || b.held == r.held {
		r.held += int64(bytes)
		b.held += int64(bytes)
		b.mu.Unlock()
		return nil
	}
	stalled := b.takeStalled(r, missing, now)
	b.mu.Unlock()
	for _, s := range stalled {
		s.evict()
	}
	return fmt.Errorf("%w of %d bytes", ErrFull, b.total)
}

// takeStalled returns the requests, longest without progress first, whose end frees a
// number of bytes, and no longer counts them as arriving.
func (b *Budget) takeStalled(except *Reservation, missing int64, now time.Time) []*Reservation {
	var stalled []*Reservation
	for s := range b.arriving {
		if s != except && now.Sub(s.progressAt) >= stallTime {
			stalled = append(stalled, s)
		}
	}
	slices.SortFunc(stalled, func(a, c *Reservation) int { return a.progressAt.Compare(c.progressAt) })
	for n, s := range stalled {
		if missing <= 0 {
			return stalled[:n]
		}
		missing -= s.held
		delete(b.arriving, s)
		b.evicted++
	}
	return stalled
}

// Shrink removes bytes that are no longer held.
func (r *Reservation) Shrink(bytes int) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.held -= int64(bytes)
	r.budget.held -= int64(bytes)
}

// ShrinkTo removes what exceeds a number of bytes.
func (r *Reservation) ShrinkTo(bytes int) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.held -= max(0, r.held-int64(bytes))
	r.held = min(r.held, int64(bytes))
}

// Arriving records that a request begins to arrive.
func (r *Reservation) Arriving(now time.Time) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.progressAt, r.unseen = now, 0
	r.budget.arriving[r] = true
}

// Progress records that a part of the request has arrived.
func (r *Reservation) Progress(bytes int, now time.Time) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.unseen += bytes; r.unseen >= progressBytes {
		r.progressAt, r.unseen = now, 0
	}
}

// Arrived records that the request is whole; it keeps its memory until its release.
func (r *Reservation) Arrived() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	delete(r.budget.arriving, r)
}

// Release removes all that the request holds; further calls do nothing.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	delete(r.budget.arriving, r)
	r.budget.held -= r.held
	r.held = 0
}
