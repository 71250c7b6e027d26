package contact

import (
	"net"
	"sync/atomic"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Attempt is a request at an endpoint; it implements http.Observer.
type Attempt struct {
	service    *service
	endpoint   string
	repeatable bool
	abandon    func()
	begunAt    time.Time

	// conn is set once the request is sent.
	conn atomic.Pointer[hawthornrail.AcknowledgedConn]
	// activeAt is when the request was sent or its endpoint was heard last, in
	// nanoseconds of Unix time.
	activeAt atomic.Int64
}

// Sent is told the connection that the request is sent on.
func (a *Attempt) Sent(c net.Conn) {
	a.activeAt.Store(a.service.tracker.deps.Clock.Now().UnixNano())
	if acknowledged, ok := c.(hawthornrail.AcknowledgedConn); ok {
		a.conn.Store(&acknowledged)
	}
}

// Heard is told that the endpoint accepted a connection or that bytes arrived.
func (a *Attempt) Heard() {
	now := a.service.tracker.deps.Clock.Now()
	a.activeAt.Store(now.UnixNano())
	a.service.recordContact(now)
}

// End records that the request has ended at the endpoint.
func (a *Attempt) End() { a.service.remove(a) }

// wasSent reports whether a connection was opened for the request.
func (a *Attempt) wasSent() bool { return a.activeAt.Load() != 0 }

// silentSince reports whether nothing was heard of the endpoint since a time.
func (a *Attempt) silentSince(t time.Time) bool {
	if !a.wasSent() {
		return a.begunAt.Before(t)
	}
	return a.activeAt.Load() < t.UnixNano()
}

// lost reports whether the endpoint has accepted no connection, or has left bytes of the
// request unacknowledged, for longer than any that is reached does.
func (a *Attempt) lost(now time.Time) bool {
	return a.silentSince(now.Add(-silenceLimit)) && (!a.wasSent() || a.unacknowledged())
}

// mayAbandon reports whether the request can be sent on another path.
func (a *Attempt) mayAbandon() bool { return a.repeatable || !a.wasSent() }

// unacknowledged reports whether the endpoint leaves bytes of the request
// unacknowledged.
func (a *Attempt) unacknowledged() bool {
	c := a.conn.Load()
	if c == nil {
		return false
	}
	count, err := (*c).Unacknowledged()
	// A connection that is closed has an error, which ends its request.
	return err == nil && count > 0
}
