package proxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// listener wraps accepted connections to detect that a caller closes its
// connection while its request is served.
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

// conn reads one byte ahead while a request is served, to detect the end of the
// connection.
type conn struct {
	net.Conn

	mu      sync.Mutex
	ahead   []byte
	readErr error
}

// Read returns the data that was read ahead before it reads the connection.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		c.mu.Unlock()
		return n, nil
	}
	readErr := c.readErr
	c.mu.Unlock()
	if readErr != nil {
		return 0, readErr
	}
	return c.Conn.Read(p)
}

// watch calls onClose if the connection ends before stop is called; stop returns
// once readAhead has returned.
func (c *conn) watch(onClose func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) > 0 || c.readErr != nil || c.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	stopping := make(chan struct{})
	done := make(chan struct{})
	go c.readAhead(onClose, stopping, done)
	return func() {
		close(stopping)
		// An expired deadline ends the read; it fails only on a closed
		// connection, which ends it too.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

func (c *conn) readAhead(onClose func(), stopping, done chan struct{}) {
	defer close(done)
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
		c.readErr = err
	}
	c.mu.Unlock()
	if n == 0 {
		onClose()
	}
}
