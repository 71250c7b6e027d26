package http

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	idleTimeout = 5 * time.Second
	// keepAliveMargin is subtracted from the endpoint's keep-alive timeout, so that
	// an idle connection is not reused just as the endpoint closes it.
	keepAliveMargin = 500 * time.Millisecond
	maxIdleConns    = 64
)

type idleConn struct {
	conn  *conn
	until time.Time
}

// keepAlive returns how long a connection may stay idle before it is no longer
// reused, at most idleTimeout.
func keepAlive(h *fasthttp.ResponseHeader) time.Duration {
	_, value, ok := strings.Cut(string(h.Peek("Keep-Alive")), "timeout=")
	if !ok {
		return idleTimeout
	}
	value, _, _ = strings.Cut(value, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || seconds < 0 {
		return idleTimeout
	}
	return min(idleTimeout, time.Duration(seconds)*time.Second-keepAliveMargin)
}

func (t *Transport) takeIdle(address string) *conn {
	for {
		candidate, ok := t.popIdle(address)
		if !ok {
			return nil
		}
		if t.clock.Now().Before(candidate.until) && !stale(candidate.conn.Conn) {
			return candidate.conn
		}
		_ = candidate.conn.Close()
	}
}

func (t *Transport) popIdle(address string) (idleConn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := t.idle[address]
	if len(conns) == 0 {
		return idleConn{}, false
	}
	last := conns[len(conns)-1]
	t.idle[address] = conns[:len(conns)-1]
	return last, true
}

func (t *Transport) putIdle(address string, c *conn, keepFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if keepFor <= 0 || len(t.idle[address]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	t.idle[address] = append(t.idle[address], idleConn{conn: c, until: t.clock.Now().Add(keepFor)})
}

// Forget closes the idle connections to an address.
func (t *Transport) Forget(address string) {
	t.mu.Lock()
	conns := t.idle[address]
	delete(t.idle, address)
	t.mu.Unlock()
	for _, c := range conns {
		_ = c.conn.Close()
	}
}
