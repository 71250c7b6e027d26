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

// NewStoreHealth returns the contact of a VM of a data centre that has not called
// the store yet.
func NewStoreHealth(dataCentre string) *StoreHealth {
	return &StoreHealth{dataCentre: dataCentre, lost: make(map[string]bool)}
}

// Responded records that the store responded for a kind, and reports whether it
// was lost before.
func (c *StoreHealth) Responded(kind string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responded = now
	regained := c.lost[kind]
	if regained && c.unreachableElsewhere && !c.reachableElsewhere {
		c.settledAt = now.Add(settlingPeriod)
	}
	delete(c.lost, kind)
	return regained
}

// Failed records that the store did not respond for a kind, and reports whether
// it was not lost before.
func (c *StoreHealth) Failed(kind string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lost) == 0 {
		c.reachableElsewhere, c.unreachableElsewhere = false, false
	}
	failed := !c.lost[kind]
	c.lost[kind] = true
	return failed
}

// PeerReported takes the status that a VM of a data centre reports. A loss
// reported from this VM's own data centre is no evidence of an outage, since
// the whole data centre may be partitioned from the store.
func (c *StoreHealth) PeerReported(dataCentre string, s StoreStatus, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.settling > 0 && dataCentre != c.dataCentre {
		c.settledAt = later(c.settledAt, now.Add(min(s.settling, settlingPeriod)))
		return
	}
	c.reachableElsewhere = c.reachableElsewhere || s.inContact
	c.unreachableElsewhere = c.unreachableElsewhere || s.lost && dataCentre != c.dataCentre
}

// SourceReported takes the status that a followed VM reports. Its settling
// period applies to this VM as well.
func (c *StoreHealth) SourceReported(_ string, s StoreStatus, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settledAt = later(c.settledAt, now.Add(min(s.settling, settlingPeriod)))
	if s.watching && !s.lost {
		c.relayed = now
	}
}

// StopTracking records that the store is no longer called for a kind.
func (c *StoreHealth) StopTracking(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.lost, kind)
}

// NoPeers records that there is no other VM whose status could distinguish an
// outage of the store from a partition, so that a loss counts as an outage.
func (c *StoreHealth) NoPeers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachableElsewhere = true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Status returns the status to report to other VMs.
func (c *StoreHealth) Status(now time.Time) StoreStatus {
	settling := c.Settling(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := len(c.lost) > 0
	return NewStoreStatus(!lost && now.Sub(c.responded) <= contactTimeout, lost, settling)
}

// Settling returns how much longer missing objects may be registered again.
func (c *StoreHealth) Settling(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.settledAt.Sub(now))
}

// LastResponse returns when the store last responded to this VM or to one that it
// follows.
func (c *StoreHealth) LastResponse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return later(c.responded, c.relayed)
}
