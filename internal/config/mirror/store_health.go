package mirror

import (
	"sync"
	"time"
)

const (
	// settlingPeriod is how long after an outage of the store an object that
	// lapsed during the outage may be registered again.
	settlingPeriod = 2 * time.Second
	// contactTimeout is how long after a response the store counts as
	// reachable.
	contactTimeout = time.Second
)

// StoreStatus is a VM's view of the store. Between two responses the store may
// count neither as reachable nor as lost.
type StoreStatus struct {
	inContact bool
	lost      bool
	settling  time.Duration
	// watching is set if the VM watches the store itself.
	watching bool
}

// NewStoreStatus returns a status: whether the store has responded recently,
// whether it is unresponsive, and how much longer missing objects may be
// registered again.
func NewStoreStatus(inContact, lost bool, settling time.Duration) StoreStatus {
	return StoreStatus{inContact: inContact, lost: lost, settling: settling}
}

// InContact reports whether the store responds for all kinds and has responded
// recently.
func (s StoreStatus) InContact() bool { return s.inContact }

// Lost reports whether the store does not respond for some kind.
func (s StoreStatus) Lost() bool { return s.lost }

// Settling returns how much longer missing objects may be registered again.
func (s StoreStatus) Settling() time.Duration { return s.settling }

// StoreHealth distinguishes an outage of the store from a network partition between
// this VM and the store.
type StoreHealth struct {
	dataCentre string

	mu        sync.Mutex
	responded time.Time
	// relayed is when a VM that watches the store last reported that it
	// responds.
	relayed time.Time
	lost    map[string]bool
	// reachableElsewhere is set if another VM reached the store during the
	// loss, and unreachableElsewhere if the store is known not to respond to
	// others either.
	reachableElsewhere   bool
	unreachableElsewhere bool
	settledAt            time.Time
}

// NewStoreHealth returns the store health of a VM of a data centre that has not
// called the store yet.
func NewStoreHealth(dataCentre string) *StoreHealth {
	return &StoreHealth{dataCentre: dataCentre, lost: make(map[string]bool)}
}

// Responded records that the store responded for a kind, and reports whether it
// was lost before.
func (h *StoreHealth) Responded(kind string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responded = now
	regained := h.lost[kind]
	if regained && h.unreachableElsewhere && !h.reachableElsewhere {
		h.settledAt = now.Add(settlingPeriod)
	}
	delete(h.lost, kind)
	return regained
}

// Failed records that the store did not respond for a kind, and reports whether
// it was not lost before.
func (h *StoreHealth) Failed(kind string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.lost) == 0 {
		h.reachableElsewhere, h.unreachableElsewhere = false, false
	}
	failed := !h.lost[kind]
	h.lost[kind] = true
	return failed
}

// PeerReported takes the status that a VM of a data centre reports. A loss
// reported from this VM's own data centre is no evidence of an outage, since
// the whole data centre may be partitioned from the store.
func (h *StoreHealth) PeerReported(dataCentre string, s StoreStatus, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.settling > 0 && dataCentre != h.dataCentre {
		h.settledAt = later(h.settledAt, now.Add(min(s.settling, settlingPeriod)))
		return
	}
	h.reachableElsewhere = h.reachableElsewhere || s.inContact
	h.unreachableElsewhere = h.unreachableElsewhere || s.lost && dataCentre != h.dataCentre
}

// SourceReported takes the status that a followed VM reports. Its settling
// period applies to this VM as well.
func (h *StoreHealth) SourceReported(_ string, s StoreStatus, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settledAt = later(h.settledAt, now.Add(min(s.settling, settlingPeriod)))
	if s.watching && !s.lost {
		h.relayed = now
	}
}

// StopTracking records that the store is no longer called for a kind.
func (h *StoreHealth) StopTracking(kind string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.lost, kind)
}

// NoPeers records that there is no other VM whose status could distinguish an
// outage of the store from a partition, so that a loss counts as an outage.
func (h *StoreHealth) NoPeers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachableElsewhere = true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Status returns the status to report to other VMs.
func (h *StoreHealth) Status(now time.Time) StoreStatus {
	settling := h.Settling(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	lost := len(h.lost) > 0
	return NewStoreStatus(!lost && now.Sub(h.responded) <= contactTimeout, lost, settling)
}

// Settling returns how much longer missing objects may be registered again.
func (h *StoreHealth) Settling(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.settledAt.Sub(now))
}

// LastResponse returns when the store last responded to this VM or to one that it
// follows.
func (h *StoreHealth) LastResponse() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return later(h.responded, h.relayed)
}
