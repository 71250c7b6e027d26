package quarantine

import "time"

// Decision says whether a digest may be sent to endpoints.
type Decision struct {
	quarantined bool
	retryAfter  time.Duration
}

// Refused returns a decision that refuses a digest for a duration.
func Refused(retryAfter time.Duration) Decision {
	return Decision{quarantined: true, retryAfter: retryAfter}
}

// Allowed reports whether the digest may be sent.
func (d Decision) Allowed() bool { return !d.quarantined }

// TrialDue reports whether the digest is quarantined and one request may try it.
func (d Decision) TrialDue() bool { return d.quarantined && d.retryAfter <= 0 }

// RetryAfter returns how long a quarantined digest is refused.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }
