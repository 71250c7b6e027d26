package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"hawthornrail.example/hawthornrail/internal/policy/memory"
)

const (
	// connBytes is what a connection holds during a request besides the buffer of its head:
	// two goroutines and the state of the library.
	connBytes = 12 << 10
	// lingerTimeout and lingerBytes bound what is read of a request that was refused, so
	// that its caller gets the response before the connection is reset.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// smallHeadBytes is the size up to which a head gets a small buffer, which it keeps until
// its response has been written: nearly all heads are shorter.
const smallHeadBytes = 4 << 10

// expired is a deadline that ends reads at once.
var expired = time.Unix(1, 0)

// errEvicted means that a request made no progress while its memory was needed.
var errEvicted = errors.New("request made no progress while its memory was needed")

// conn is the connection of a caller. It reads one byte ahead while a request is served,
// to detect the end of the connection. Between requests it holds no buffer.
type conn struct {
	net.Conn
	now func() time.Time
	// memory is what the requests of the connection hold.
	memory *memory.Reservation
	// headBytes is what a request holds besides its body, and deadline the time until which
	// it has to arrive.
	headBytes int
	deadline  time.Time
	// release is called once the response has been written; it may be nil.
	release func()
	// idle is set between two requests, and parked once the library is done with the
	// connection because no further request has arrived.
	idle   bool
	parked bool
	// lingers is set if a request is refused before it has been read.
	lingers bool
	// waiting is set while the connection waits for its next request, and since is when
	// that began, in nanoseconds since 1970.
	waiting atomic.Bool
	since   atomic.Int64

	mu      sync.Mutex
	ahead   []byte
	readErr error
	evicted bool
}

// Read returns the data that was read ahead before it reads the connection. Between
// requests it returns io.EOF instead of waiting, so that the library releases its buffers.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		c.mu.Unlock()
		return n, nil
	}
	readErr := c.readErr
	c.mu.Unlock()
	if readErr != nil {
		return 0, readErr
	}
	if c.idle {
		c.parked = true
		return 0, io.EOF
	}
	return c.readArriving(p)
}

// readArriving reads a part of a request that is arriving.
func (c *conn) readArriving(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.memory.Progress(n, c.now())
	if err != nil && c.isEvicted() {
		return n, errEvicted
	}
	return n, err
}

// Write writes a part of a response. The caller has to make room for it in time, however long
// the whole response takes.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetReadDeadline sets the deadline of reads, which is not after that of the request that
// is arriving.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.evicted:
		t = expired
	case !c.deadline.IsZero() && t.After(c.deadline):
		t = c.deadline
	}
	return c.Conn.SetReadDeadline(t)
}

// evict ends the request that is arriving.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	// It fails only on a closed connection, whose reads have ended.
	_ = c.Conn.SetReadDeadline(expired)
}

func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// await waits for the first byte of the next request and reports whether it arrived.
func (c *conn) await(timeout time.Duration) bool {
	if c.SetReadDeadline(c.now().Add(timeout)) != nil {
		return false
	}
	c.since.Store(c.now().UnixNano())
	c.waiting.Store(true)
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	c.waiting.Store(false)
	if n == 0 || err != nil {
		return false
	}
	c.ahead = append(c.ahead, b[0])
	return true
}

// readHead reads ahead until the head is whole, and reports whether it fits in a small
// buffer. An error is kept for the read of the library.
func (c *conn) readHead() bool {
	if c.deadline = c.now().Add(readTimeout); c.SetReadDeadline(c.deadline) != nil {
		return true
	}
	buffer := make([]byte, len(c.ahead), smallHeadBytes)
	copy(buffer, c.ahead)
	for len(buffer) < cap(buffer) && !holdsHead(buffer) {
		n, err := c.readArriving(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err != nil {
			c.readErr = err
			break
		}
	}
	c.ahead = buffer
	return len(buffer) < cap(buffer) || holdsHead(buffer)
}

// holdsHead reports whether data holds a head with its end; a request may begin with
// empty lines.
func holdsHead(data []byte) bool {
	data = bytes.TrimLeft(data, "\r\n")
	return bytes.Contains(data, []byte("\n\r\n")) || bytes.Contains(data, []byte("\n\n"))
}

// setState records the state of the connection in the library.
func (c *conn) setState(state fasthttp.ConnState) {
	c.idle = state == fasthttp.StateIdle
	switch state {
	case fasthttp.StateActive:
		c.memory.Arriving(c.now())
	case fasthttp.StateIdle:
		c.deadline = time.Time{}
		c.endResponse()
	}
}

// endResponse releases what is held of a response.
func (c *conn) endResponse() {
	if c.release != nil {
		c.release()
		c.release = nil
	}
}

// Close closes the connection unless it waits for a further request.
func (c *conn) Close() error {
	if c.parked {
		return nil
	}
	if c.lingers {
		linger(c.Conn, c.now())
	}
	return c.Conn.Close()
}

// linger ends the sending direction of a connection and reads for a while.
func linger(c net.Conn, now time.Time) {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.SetReadDeadline(now.Add(lingerTimeout)) != nil {
		return
	}
	// The connection is closed whatever its caller still sends.
	_, _ = io.Copy(io.Discard, io.LimitReader(c, lingerBytes))
}

// watch calls onClose if the connection ends before stop is called; stop returns
// once readAhead has returned.
func (c *conn) watch(onClose func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) > 0 || c.readErr != nil || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	stopping := make(chan struct{})
	done := make(chan struct{})
	go c.readAhead(onClose, stopping, done)
	return func() {
		close(stopping)
		// An expired deadline ends the read; it fails only on a closed
		// connection, which ends it too.
		_ = c.SetReadDeadline(expired)
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
