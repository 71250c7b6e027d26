package http

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

type idleConn struct {
	conn  *conn
	until time.Time
}

// keepAlive returns how long the endpoint keeps an idle connection at least.
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

func (t *Transport) take(address string) *conn {
	for {
		idle, ok := t.pop(address)
		if !ok {
			return nil
		}
		if t.clock.Now().Before(idle.until) && !stale(idle.conn.Conn) {
			return idle.conn
		}
		_ = idle.conn.Close()
	}
}

func (t *Transport) pop(address string) (idleConn, bool) {
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

func (t *Transport) put(address string, c *conn, idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if idle <= 0 || len(t.idle[address]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	t.idle[address] = append(t.idle[address], idleConn{conn: c, until: t.clock.Now().Add(idle)})
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
