package holder

import (
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// tickInterval is the interval at which a process shows that it runs, and maxPause how
	// long it may not run until it has to find out whether it was replaced meanwhile. It is
	// shorter than failoverTimeout.
	tickInterval = 200 * time.Millisecond
	maxPause     = time.Second
)

// role is whether this VM is the holder of its data centre, as far as it knows. The
// platform decides on that; a process that did not run for a while may have been replaced.
type role struct {
	clock hawthornrail.Clock

	mu   sync.Mutex
	held bool
	// since is when the role was last taken over, or when the process started.
	since    time.Time
	tickedAt time.Time
}

// newRole returns a role that is held until something shows otherwise.
func newRole(clock hawthornrail.Clock) *role {
	now := clock.Now()
	return &role{clock: clock, held: true, since: now, tickedAt: now}
}

// isHeld reports whether the role is held and the process has run without a pause since.
func (r *role) isHeld() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held && r.clock.Since(r.tickedAt) <= maxPause
}

// takeOver records that this VM has claimed the role of another one.
func (r *role) takeOver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since = r.clock.Now()
}

// takenOverAt returns when the role was last taken over, or when the process started.
func (r *role) takenOverAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.since
}

// lose records that another VM has the role.
func (r *role) lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = false
}

// confirm records that the platform, which was asked at a time, has named this VM. It
// reports false if that was so long ago that the VM may have been replaced since.
func (r *role) confirm(askedAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock.Since(askedAt) >= failoverTimeout {
		return false
	}
	r.held = true
	return true
}

// tick records that the process runs. After a pause the role counts as not held until it
// is confirmed.
func (r *role) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if now.Sub(r.tickedAt) > maxPause {
		r.held = false
	}
	r.tickedAt = now
}
