package replica

import (
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/store"
)

// roomInterval is how long what the store says of its room is used: it looks at each turn.
const roomInterval = 100 * time.Millisecond

// room remembers for a moment whether a store has room.
type room struct {
	store *store.Store
	clock hawthornrail.Clock

	mu    sync.Mutex
	asked time.Time
	ok    bool
	after time.Duration
}

// get reports whether the store has room for further turns, and otherwise how long it takes
// until it has.
func (r *room) get() (ok bool, after time.Duration) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asked.IsZero() || now.Sub(r.asked) >= roomInterval {
		r.asked = now
		r.ok, r.after = r.store.Room()
		if !r.ok {
			// Segments are removed at intervals.
			r.after += expireInterval
		}
	}
	return r.ok, r.after
}
