package proxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// listener wraps accepted connections so that a caller who leaves is noticed
// while its request is served.
type listener struct {
	net.Listener
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept caller: %w", err)
	}
	return &conn{Conn: c}, nil
}

// conn reads ahead by one byte while a request is served, which is how the
// end of a connection shows.
type conn struct {
	net.Conn

	mu      sync.Mutex
	ahead   []byte
	failure error
}

// Read returns what was read ahead before anything else.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		c.mu.Unlock()
		return n, nil
	}
	failure := c.failure
	c.mu.Unlock()
	if failure != nil {
		return 0, failure
	}
	return c.Conn.Read(p)
}

// watch calls gone if the connection ends before stop is called; stop returns
// once nothing reads the connection any more.
func (c *conn) watch(gone func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) > 0 || c.failure != nil || c.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	stopping := make(chan struct{})
	ended := make(chan struct{})
	go c.readAhead(gone, stopping, ended)
	return func() {
		close(stopping)
		// An expired deadline ends the read; it fails only on a closed
		// connection, which ends it too.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-ended
		_ = c.SetReadDeadline(time.Time{})
	}
}

func (c *conn) readAhead(gone func(), stopping, ended chan struct{}) {
	defer close(ended)
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	select {
	case <-stopping:
		if n == 0 {
			return
		}
	default:
	}
	c.mu.Lock()
	c.ahead = append(c.ahead, b[:n]...)
	if n == 0 {
		c.failure = err
	}
	c.mu.Unlock()
	if n == 0 {
		gone()
	}
}
