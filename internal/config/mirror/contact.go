package mirror

import (
	"sync"
	"time"
)

const (
	// settleTime is how long after an outage of the store objects that lapsed
	// meanwhile may come back.
	settleTime = 2 * time.Second
	// contactTime is how long after an answer the store counts as there.
	contactTime = time.Second
)

// Standing is what a VM knows of the store; it may be neither in contact nor
// without, between two answers.
type Standing struct {
	inContact bool
	lost      bool
	settling  time.Duration
	// watching says that the VM watches the store itself.
	watching bool
}

// NewStanding returns what a VM knows: that the store has answered it just
// now, that it does not answer, and how much longer objects that are missing
// may come back.
func NewStanding(inContact, lost bool, settling time.Duration) Standing {
	return Standing{inContact: inContact, lost: lost, settling: settling}
}

// InContact reports whether the store has answered for all kinds, one just
// now.
func (s Standing) InContact() bool { return s.inContact }

// Lost reports whether the store does not answer for some kind.
func (s Standing) Lost() bool { return s.lost }

// Settling returns how much longer objects that are missing may come back.
func (s Standing) Settling() time.Duration { return s.settling }

// Contact tells outages of the store from losses of this VM's way to it.
type Contact struct {
	dataCentre string

	mu       sync.Mutex
	answered time.Time
	// followed is when a VM that watches the store last told of it.
	followed time.Time
	lost     map[string]bool
	// elsewhere says that the store answered another VM during the loss, and
	// away that it did not.
	elsewhere bool
	away      bool
	settled   time.Time
}

// NewContact returns the contact of a VM of a data centre that has not called
// the store yet.
func NewContact(dataCentre string) *Contact {
	return &Contact{dataCentre: dataCentre, lost: make(map[string]bool)}
}

// Answered records that the store answered for a kind, and reports whether it
// had not before.
func (c *Contact) Answered(kind string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = now
	regained := c.lost[kind]
	if regained && c.away && !c.elsewhere {
		c.settled = now.Add(settleTime)
	}
	delete(c.lost, kind)
	return regained
}

// Failed records that the store did not answer for a kind, and reports whether
// it had before.
func (c *Contact) Failed(kind string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lost) == 0 {
		c.elsewhere, c.away = false, false
	}
	failed := !c.lost[kind]
	c.lost[kind] = true
	return failed
}

// Heard takes what a VM of a data centre says of its own contact. A loss in the
// own data centre may be a cut of all of it, which is no outage.
func (c *Contact) Heard(dataCentre string, s Standing, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.settling > 0 && dataCentre != c.dataCentre {
		c.settled = later(c.settled, now.Add(min(s.settling, settleTime)))
		return
	}
	c.elsewhere = c.elsewhere || s.inContact
	c.away = c.away || s.lost && dataCentre != c.dataCentre
}

// Followed takes what a VM says of its own contact that this one follows: its
// word on an outage is this VM's as well.
func (c *Contact) Followed(_ string, s Standing, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settled = later(c.settled, now.Add(min(s.settling, settleTime)))
	if s.watching && !s.lost {
		c.followed = now
	}
}

// Rest records that the store is not called for a kind any more.
func (c *Contact) Rest(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.lost, kind)
}

// Alone records that there is no other VM to ask, whose word would tell an
// outage of the store from a loss of this VM's way to it.
func (c *Contact) Alone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Standing returns what to tell other VMs.
func (c *Contact) Standing(now time.Time) Standing {
	settling := c.Settling(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := len(c.lost) > 0
	return NewStanding(!lost && now.Sub(c.answered) <= contactTime, lost, settling)
}

// Settling returns how much longer objects that are missing may come back.
func (c *Contact) Settling(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.settled.Sub(now))
}

// Last returns when the store last answered this VM or one that it follows.
func (c *Contact) Last() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return later(c.answered, c.followed)
}
