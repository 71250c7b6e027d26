package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/tcp"
)

const (
	// refuseTimeout bounds the write of a refusal, which fits in the buffer of a new
	// connection.
	refuseTimeout = 100 * time.Millisecond
	// maxLingering bounds the connections beyond the limit that are not closed yet.
	maxLingering = 32
	// refusalBytes is the size of the buffer in which a refusal is written.
	refusalBytes = 512
)

// connections are the open connections of callers.
type connections struct {
	limit     int
	lingering chan struct{}

	mu      sync.Mutex
	open    map[*conn]bool
	refused events.Batch
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, lingering: make(chan struct{}, maxLingering), open: make(map[*conn]bool)}
}

// add adds a connection and reports whether the limit allows it. The one that has waited
// longest for a request makes room for it.
func (l *connections) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit && !l.closeLongestWaiting() {
		return false
	}
	l.open[c] = true
	return true
}

// shed closes the connection that has waited longest for a request, if any waits.
func (l *connections) shed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLongestWaiting()
}

// closeLongestWaiting closes a connection and reports whether there was one; l.mu must be
// held.
func (l *connections) closeLongestWaiting() bool {
	var longest *conn
	for c := range l.open {
		if c.waiting.Load() && (longest == nil || c.since.Load() < longest.since.Load()) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	// Its goroutine ends with its read.
	_ = longest.Conn.Close()
	delete(l.open, longest)
	return true
}

func (l *connections) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// count returns the number of open connections.
func (l *connections) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// closeWaiting closes the connections that wait for a request.
func (l *connections) closeWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.waiting.Load() {
			_ = c.Conn.Close()
		}
	}
}

// countRefused counts a refused connection and returns how many to log, if any.
func (l *connections) countRefused(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused.Count(now)
}

// Serve serves callers on a listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if !s.listen(l) {
		return nil
	}
	acceptor := tcp.NewAcceptor(l, s.deps.Clock, s.deps.Log, s.Shed)
	for {
		accepted, err := acceptor.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("serve callers: %w", err)
		}
		s.accept(accepted)
	}
}

// Shed closes the connection that has waited longest for a request, if any waits.
func (s *Server) Shed() { s.conns.shed() }

func (s *Server) accept(accepted net.Conn) {
	c := &conn{Conn: accepted, now: s.deps.Clock.Now}
	if !s.conns.add(c) {
		s.refuseConnection(accepted)
		return
	}
	go s.serveConn(c)
}

// serveConn serves the requests of a connection. The library holds buffers from the head
// of a request to the end of its response.
func (s *Server) serveConn(c *conn) {
	defer s.conns.remove(c)
	for timeout := readTimeout; c.await(timeout); timeout = idleTimeout {
		c.memory, c.idle, c.parked = s.deps.Memory.Reserve(c.evict), false, false
		err := s.serveRequests(c)
		c.endResponse()
		c.memory.Release()
		if err != nil {
			s.refuse(c.Conn, full(err))
			linger(c.Conn, c.now())
			break
		}
		if !c.parked {
			return
		}
	}
	_ = c.Conn.Close()
}

// serveRequests serves the request that has begun to arrive, and those that come with it.
// It returns an error if there is no memory for the head.
func (s *Server) serveRequests(c *conn) error {
	c.headBytes = min(smallHeadBytes, s.deps.MaxHeaderBytes) + connBytes
	if err := c.memory.Grow(c.headBytes, c.now()); err != nil {
		return err
	}
	c.memory.Arriving(c.now())
	library := s.http
	if !c.readHead() {
		added := s.deps.MaxHeaderBytes - smallHeadBytes
		if err := c.memory.Grow(max(0, added), c.now()); err != nil {
			return err
		}
		c.headBytes += max(0, added)
		library = s.longHeads
	}
	// Its errors are those of the connection.
	_ = library.ServeConn(c)
	return nil
}

// refuseConnection refuses a connection beyond the limit.
func (s *Server) refuseConnection(c net.Conn) {
	if count := s.conns.countRefused(s.deps.Clock.Now()); count > 0 {
		s.deps.Log.Event(events.ConnectionsRefused).Int("refused", count).Int("open", s.conns.count()).Emit()
	}
	s.refuse(c, hawthornrail.NotRun(hawthornrail.CodeOverload, "too many connections").WithRetryAfter(fullRetryAfter()))
	select {
	case s.conns.lingering <- struct{}{}:
		go func() {
			linger(c, s.deps.Clock.Now())
			_ = c.Close()
			<-s.conns.lingering
		}()
	default:
		_ = c.Close()
	}
}

// refuse writes the response of a request that is not read.
func (s *Server) refuse(c net.Conn, f *hawthornrail.Failure) {
	var response fasthttp.Response
	s.fillFailure(&response, f)
	response.SetConnectionClose()
	if c.SetWriteDeadline(s.deps.Clock.Now().Add(refuseTimeout)) != nil {
		return
	}
	w := bufio.NewWriterSize(c, refusalBytes)
	// A caller that does not get the refusal sees its connection close.
	_ = errors.Join(response.Write(w), w.Flush())
}

// listen records the listener and reports whether the server may accept connections.
func (s *Server) listen(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		_ = l.Close()
		return false
	}
	s.listener = l
	return true
}

// Shutdown stops accepting connections and waits until the requests in flight
// have ended.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	if s.listener != nil {
		// It fails only if the listener is closed already.
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	for {
		s.conns.closeWaiting()
		if s.conns.count() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("shut down caller server: %w", ctx.Err())
		case <-s.deps.Clock.After(closePollInterval):
		}
	}
}

// Abort ends the requests that are still in flight and waits, up to a timeout, until
// their callers have been told: a response that has not begun is one that may have run,
// a stream is interrupted.
func (s *Server) Abort(timeout time.Duration) {
	s.abort(errAborted)
	for end := s.deps.Clock.Now().Add(timeout); s.conns.count() > 0 && s.deps.Clock.Now().Before(end); {
		s.deps.Clock.Sleep(closePollInterval)
	}
}
