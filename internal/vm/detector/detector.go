package detector

import (
	"sync"
	"time"
)

const (
	// answersToTrust is how many probes in a row a suspected VM has to answer;
	// one answer may come over a path that fails again at once.
	answersToTrust = 2
	// firstProbe and maxProbe bound the pause before a suspected VM is probed;
	// it doubles while the VM stays silent.
	firstProbe = 200 * time.Millisecond
	maxProbe   = time.Second
)

// Detector remembers which VMs did not answer, by their addresses.
type Detector struct {
	mu       sync.Mutex
	suspects map[string]*suspect
}

// suspect is what is known of a VM since it missed a question.
type suspect struct {
	missed  time.Time
	pause   time.Duration
	answers int
}

// New returns a detector that suspects nobody.
func New() *Detector { return &Detector{suspects: make(map[string]*suspect)} }

// Missed records that a VM did not answer in time, and reports whether it was
// not suspected before.
func (d *Detector) Missed(address string, now time.Time) (first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, known := d.suspects[address]
	if !known {
		s = &suspect{pause: firstProbe}
		d.suspects[address] = s
	}
	s.missed, s.answers = now, 0
	return !known
}

// Answered records that a VM answered a question of some time, and reports
// whether it is trusted again by that. An answer to a question from before the
// last miss says nothing about what came after.
func (d *Detector) Answered(address string, asked time.Time) (trusted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, known := d.suspects[address]
	if !known || !asked.After(s.missed) {
		return false
	}
	s.answers++
	s.pause = firstProbe
	if s.answers < answersToTrust {
		return false
	}
	delete(d.suspects, address)
	return true
}

// Suspected reports whether a VM is to be avoided.
func (d *Detector) Suspected(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.suspects[address]
	return known
}

// Forget drops what is known of a VM that is not asked any more.
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
	s, known := d.suspects[address]
	if !known {
		return 0
	}
	pause := s.pause
	s.pause = min(2*s.pause, maxProbe)
	return pause
}
