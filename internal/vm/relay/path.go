package relay

import "time"

const (
	// copiesPerReply is the fraction of requests that may also be relayed while
	// their VM replies directly: the VM may be slow, and copies make it slower.
	copiesPerReply = 0.1
	// maxCopies bounds the burst of relayed copies.
	maxCopies = 3
	// minUnansweredTime and maxUnansweredTime bound how long a path may be
	// without a reply until it counts as down; within these bounds the limit is
	// twice the recent latency.
	minUnansweredTime = 200 * time.Millisecond
	maxUnansweredTime = time.Second
	// latencyDecay is the factor by which each reply reduces the recent latency,
	// unless its own latency is higher.
	latencyDecay = 0.9
)

// directPath is the state of the direct path to a VM.
type directPath struct {
	// copiesAllowed is how many requests may be relayed before the next reply.
	copiesAllowed float64
	// unansweredSince is when the first request without a reply since was sent,
	// and zero if there is none.
	unansweredSince time.Time
	// recentLatency is the decaying maximum of the latency of replies.
	recentLatency time.Duration
	down          bool
	// lastRelay is the VM that relayed the last request successfully, or "".
	lastRelay string
}

func newDirectPath() *directPath { return &directPath{copiesAllowed: maxCopies} }

// recordRequest records that a request is sent directly.
func (p *directPath) recordRequest(now time.Time) {
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
}

// recordReply records a direct reply to a request and when that was sent.
func (p *directPath) recordReply(sent, now time.Time) {
	p.unansweredSince, p.down = time.Time{}, false
	p.copiesAllowed = min(maxCopies, p.copiesAllowed+copiesPerReply)
	p.recentLatency = max(now.Sub(sent), time.Duration(latencyDecay*float64(p.recentLatency)))
}

// recordConnectFailure records that no connection could be established.
func (p *directPath) recordConnectFailure() { p.down = true }

// allowRelay reports whether a request may be relayed once more, and counts it:
// always if the path is down, else within the bound on copies.
func (p *directPath) allowRelay(now time.Time) bool {
	limit := min(maxUnansweredTime, max(minUnansweredTime, 2*p.recentLatency))
	if !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) >= limit {
		p.down = true
	}
	if p.down {
		return true
	}
	if p.copiesAllowed < 1 {
		return false
	}
	p.copiesAllowed--
	return true
}

// recordRelay records whether a reply came through a VM.
func (p *directPath) recordRelay(via string, replied bool) {
	switch {
	case replied:
		p.lastRelay = via
	case p.lastRelay == via:
		p.lastRelay = ""
	}
}
