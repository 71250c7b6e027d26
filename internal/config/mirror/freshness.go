package mirror

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// confirmationTimeout is how long after a start requests wait for a confirmation of
// the configuration. It is long enough to ask the store and several VMs.
const confirmationTimeout = time.Second

// Freshness tells how far the mirrored configuration can be relied on; it implements
// hawthornrail.ConfigFreshness.
type Freshness struct {
	storeHealth *StoreHealth
	clock       hawthornrail.Clock
	started     time.Time
}

// NewFreshness returns the freshness of the configuration of a process that starts
// now.
func NewFreshness(storeHealth *StoreHealth, clock hawthornrail.Clock) *Freshness {
	return &Freshness{storeHealth: storeHealth, clock: clock, started: clock.Now()}
}

// Usable reports whether the configuration has been confirmed since the start, or
// could not be for some time.
func (f *Freshness) Usable() bool {
	return f.storeHealth.LastConfirmed().After(f.started) || f.clock.Since(f.started) >= confirmationTimeout
}

// Current reports whether the configuration has been confirmed recently.
func (f *Freshness) Current() bool { return f.storeHealth.Current(f.clock.Now()) }
