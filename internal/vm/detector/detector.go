package detector

import (
	"sync"
	"time"
)

const (
	// repliesToTrust is how many consecutive requests a suspected VM has to reply
	// to until it is trusted; a single reply may come over a path that fails
	// again at once.
	repliesToTrust = 2
	// firstProbePause and maxProbePause bound the pause before a suspected VM is
	// probed; it doubles while the VM stays unresponsive.
	firstProbePause = 200 * time.Millisecond
	maxProbePause   = time.Second
)

// Detector records which VMs did not reply, by their addresses.
type Detector struct {
	mu       sync.Mutex
	suspects map[string]*suspect
}

// suspect is the state of a VM since it did not reply to a request.
type suspect struct {
	lastMiss   time.Time
	probePause time.Duration
	replies    int
}

// New returns a detector that suspects no VM.
func New() *Detector { return &Detector{suspects: make(map[string]*suspect)} }

// RecordTimeout records that a VM did not reply in time, and reports whether it was
// not suspected before.
func (d *Detector) RecordTimeout(address string, now time.Time) (first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, suspected := d.suspects[address]
	if !suspected {
		s = &suspect{probePause: firstProbePause}
		d.suspects[address] = s
	}
	s.lastMiss, s.replies = now, 0
	return !suspected
}

// RecordReply records that a VM replied to a request sent at a time, and reports
// whether the VM is trusted again because of it. A reply to a request from
// before the last miss is ignored, since it does not show that the VM responds
// now.
func (d *Detector) RecordReply(address string, sent time.Time) (trusted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, suspected := d.suspects[address]
	if !suspected || !sent.After(s.lastMiss) {
		return false
	}
	s.replies++
	s.probePause = firstProbePause
	if s.replies < repliesToTrust {
		return false
	}
	delete(d.suspects, address)
	return true
}

// Suspected reports whether a VM is suspected to be down.
func (d *Detector) Suspected(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, suspected := d.suspects[address]
	return suspected
}

// Forget removes the state of a VM that gets no more requests.
func (d *Detector) Forget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspects, address)
}

// NextProbe returns the pause before the next probe of a suspected VM; it is 0
// for any other.
func (d *Detector) NextProbe(address string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, suspected := d.suspects[address]
	if !suspected {
		return 0
	}
	pause := s.probePause
	s.probePause = min(2*s.probePause, maxProbePause)
	return pause
}
