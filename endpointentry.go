package hawthornrail

import "time"

// EndpointEntry is what the entry of an endpoint in the platform's store says of the
// moment at which it was written.
type EndpointEntry struct {
	revision uint64
	started  time.Time
	coldLeft time.Duration
	statesIt bool
}

// NewEndpointEntry returns an entry at its revision that does not say how long the
// endpoint remains cold.
func NewEndpointEntry(revision uint64) EndpointEntry { return EndpointEntry{revision: revision} }

// WithColdLeft returns a copy that says how long the endpoint remained cold when the
// entry was written, or 0 if it was warm.
func (e EndpointEntry) WithColdLeft(left time.Duration) EndpointEntry {
	e.coldLeft, e.statesIt = left, true
	return e
}

// WithStarted returns a copy that says when the endpoint started.
func (e EndpointEntry) WithStarted(at time.Time) EndpointEntry {
	e.started = at
	return e
}

// Started returns when the endpoint started by its own clock, or the zero time if the
// entry does not say so.
func (e EndpointEntry) Started() time.Time { return e.started }

// Revision returns the revision of the entry's last change.
func (e EndpointEntry) Revision() uint64 { return e.revision }

// ColdLeft returns how long the endpoint remained cold when the entry was written; ok is
// false if the entry does not say so.
func (e EndpointEntry) ColdLeft() (left time.Duration, ok bool) { return e.coldLeft, e.statesIt }
