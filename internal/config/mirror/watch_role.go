package mirror

import (
	"slices"
	"sync"
	"time"
)

const (
	// FollowedVMs is how many VMs of its data centre a VM follows before it
	// stops watching the store itself. It is more than one because a single VM
	// may be frozen or partitioned without being noticed.
	FollowedVMs = 2
	// maxPredecessors bounds how many of the VMs before this one are
	// candidates.
	maxPredecessors = 6
	// candidateBackoff is how long a VM that could not be followed is not tried
	// again.
	candidateBackoff = time.Second
	// partialVacancyTimeout is how long a slot may stay vacant before this VM
	// watches the store itself, and fullVacancyTimeout is the same while all
	// slots are vacant.
	partialVacancyTimeout = 3 * time.Second
	fullVacancyTimeout    = 600 * time.Millisecond
)

// WatchRole decides whether this VM watches the store. All VMs of a data centre are
// in an order that each of them computes alike, and the first ones watch the
// store. Any other VM follows two watching VMs before it, and watches the store
// itself while it finds fewer, or while they are not up to date.
type WatchRole struct {
	mu sync.Mutex
	// membersKnown is set once the VMs of the data centre are known.
	membersKnown bool
	predecessors []string
	retryAfter   map[string]time.Time
	slots        [FollowedVMs]slot
	// sourcesExpired is set while no VM can be relied on as a source.
	sourcesExpired bool
	changed        chan struct{}
}

// slot holds one followed VM.
type slot struct {
	address  string
	followed bool
	// vacantSince is when the slot became vacant. unfilled is set if it has
	// been vacant for too long, or if there are too few VMs to fill it.
	vacantSince time.Time
	unfilled    bool
}

// NewWatchRole returns the watch role of a VM that does not know the other VMs yet.
func NewWatchRole() *WatchRole {
	return &WatchRole{retryAfter: make(map[string]time.Time), changed: make(chan struct{})}
}

// SetPredecessors sets the addresses of the VMs before this one, in their order.
func (r *WatchRole) SetPredecessors(addresses []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses = addresses[:min(maxPredecessors, len(addresses))]
	r.updateLocked(func() {
		for i := range r.slots {
			s := &r.slots[i]
			if !r.membersKnown {
				s.vacantSince = now
			}
			if s.address != "" && !slices.Contains(addresses, s.address) {
				*s = slot{vacantSince: now, unfilled: s.unfilled}
			}
			s.unfilled = s.unfilled || i >= len(addresses)
		}
		r.membersKnown, r.predecessors = true, addresses
	})
}

// Acquire returns the VM to follow in a slot, and whether it was followed
// before; ok is false if there is no candidate at present.
func (r *WatchRole) Acquire(i int, now time.Time) (address string, followed, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.slots[i]
	if s.address != "" {
		return s.address, s.followed, true
	}
	r.updateLocked(func() { s.unfilled = s.unfilled || r.membersKnown && now.Sub(s.vacantSince) >= r.vacancyTimeout() })
	for _, address := range r.predecessors {
		if now.Before(r.retryAfter[address]) || r.inUse(address) {
			continue
		}
		s.address = address
		return address, false, true
	}
	return "", false, false
}

// vacancyTimeout is how long a slot may be vacant.
func (r *WatchRole) vacancyTimeout() time.Duration {
	if slices.ContainsFunc(r.slots[:], func(s slot) bool { return s.followed }) {
		return partialVacancyTimeout
	}
	return fullVacancyTimeout
}

func (r *WatchRole) inUse(address string) bool {
	return slices.ContainsFunc(r.slots[:], func(s slot) bool { return s.address == address })
}

// Followed records that the VM of a slot watches the store and relays its
// changes.
func (r *WatchRole) Followed(i int, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slots[i].address == address {
		r.updateLocked(func() { r.slots[i] = slot{address: address, followed: true} })
	}
}

// Failed records that the VM of a slot does not respond, or does not watch the
// store.
func (r *WatchRole) Failed(i int, address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAfter[address] = now.Add(candidateBackoff)
	s := &r.slots[i]
	if s.address != address {
		return
	}
	if s.followed {
		s.vacantSince = now
	}
	s.address, s.followed = "", false
}

// SetSourcesExpired sets whether no VM can be relied on as a source; this VM then
// watches the store itself at once.
func (r *WatchRole) SetSourcesExpired(expired bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateLocked(func() { r.sourcesExpired = expired })
}

// Watching reports whether this VM watches the store, and returns a channel
// that is closed when that changes.
func (r *WatchRole) Watching() (bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching(), r.changed
}

func (r *WatchRole) watching() bool {
	return r.sourcesExpired || r.membersKnown && slices.ContainsFunc(r.slots[:], func(s slot) bool { return s.unfilled })
}

// updateLocked makes a change and closes changed if that starts or ends the
// watch of this VM; d.mu must be held.
func (r *WatchRole) updateLocked(change func()) {
	before := r.watching()
	change()
	if r.watching() != before {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}
