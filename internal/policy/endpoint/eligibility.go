package endpoint

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// admits reports whether an endpoint may be sent a request at all, whatever its load and
// its failures: the query allows it, and its data centre is not evacuated. Every choice
// of an endpoint asks it.
func admits(s *endpointState, q hawthornrail.PickQuery) bool {
	return !s.evacuated && q.Allows(s.endpoint)
}

// eligible reports whether an endpoint may be chosen for a query.
func (t *Table) eligible(s *endpointState, q hawthornrail.PickQuery, now time.Time) bool {
	return !s.unavailable(now) && admits(s, q) && !s.limit.exhausted(t.timeSlots, now)
}

// Refusal says why a request may not be sent to the endpoint that alone may run it.
type Refusal int

// The refusals.
const (
	// NotRefused means that the request may be sent.
	NotRefused Refusal = iota
	// NotListed means that the endpoint is not listed or not allowed by the query.
	NotListed
	// InEvacuation means that the data centre of the endpoint is evacuated.
	InEvacuation
	// StillCold means that the endpoint is cold and this VM has no time slot.
	StillCold
)

// ChooseNamed chooses an endpoint that alone may run the request and counts the request
// as sent, unless it is refused. A rate limit that the endpoint names does not keep it
// from being chosen, which uses a time slot in advance.
func (t *Table) ChooseNamed(name string, q hawthornrail.PickQuery, now time.Time) (hawthornrail.Endpoint, Refusal) {
	s, ok := t.states[name]
	switch {
	case !ok || !q.Allows(s.endpoint):
		return hawthornrail.Endpoint{}, NotListed
	case !admits(s, q):
		return hawthornrail.Endpoint{}, InEvacuation
	case s.limit.cold.rate(now) > 0 && s.limit.exhausted(t.timeSlots, now):
		return hawthornrail.Endpoint{}, StillCold
	}
	t.recordSent(s, q, now)
	return s.endpoint, NotRefused
}

// Evacuated reports whether an endpoint could be chosen if its data centre were not
// evacuated.
func (t *Table) Evacuated(q hawthornrail.PickQuery) bool {
	for _, s := range t.states {
		if s.evacuated && q.Allows(s.endpoint) && !s.endpoint.Draining() {
			return true
		}
	}
	return false
}
