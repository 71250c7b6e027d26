package holder

import "time"

// failoverTimeout is how long a holder has to be unresponsive before another VM
// replaces it. It is longer than a restart takes.
const failoverTimeout = 3 * time.Second

// outage records since when the registered holder has been unresponsive.
type outage struct {
	since time.Time
}

// update records the result of a probe that was sent at probedAt, and reports
// whether the holder has been unresponsive for failoverTimeout.
func (o *outage) update(responded bool, probedAt, now time.Time) bool {
	if responded {
		o.since = time.Time{}
		return false
	}
	if o.since.IsZero() {
		o.since = probedAt
	}
	return now.Sub(o.since) >= failoverTimeout
}
