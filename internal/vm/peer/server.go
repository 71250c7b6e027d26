package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
	"hawthornrail.example/hawthornrail/internal/vm/tcp"
	vmtls "hawthornrail.example/hawthornrail/internal/vm/tls"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// Stream is the server side of one request's stream.
type Stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	from    hawthornrail.Instance
	replier *replier
}

// From returns the instance that opened the stream.
func (s *Stream) From() hawthornrail.Instance { return s.from }

// WithSender returns a copy of the stream for a relayed request: from is the
// instance that sent the request to the relay at the other end.
func (s *Stream) WithSender(from hawthornrail.Instance) *Stream {
	c := *s
	c.from = from
	return &c
}

// Handler serves the streams that other VMs open.
type Handler func(ctx context.Context, open *vmpb.Open, s *Stream)

// Server accepts connections from other VMs.
type Server struct {
	identity identity
	clock    hawthornrail.Clock
	log      events.Logger
	handler  Handler
	listener net.Listener
	shed     func()

	mu       sync.Mutex
	sessions map[*session]struct{}
	closed   bool
	wait     sync.WaitGroup
}

// NewServer returns a server that authenticates as self with secret. mutual is
// nil if the settings disable TLS.
func NewServer(self hawthornrail.Instance, secret []byte, mutual *vmtls.Mutual, clock hawthornrail.Clock, log events.Logger) *Server {
	return &Server{
		identity: identity{self: self, secret: secret, mutual: mutual},
		clock:    clock,
		log:      log,
		sessions: make(map[*session]struct{}),
		shed:     func() {},
	}
}

// SetShed sets what closes a connection that is not needed when the process has no descriptor
// for one of a VM; it must be called before Serve.
func (s *Server) SetShed(shed func()) { s.shed = shed }

// Listen binds to an address of an IP and a port.
func (s *Server) Listen(address string) (net.Addr, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for VMs: %w", err)
	}
	s.listener = l
	return l.Addr(), nil
}

// Serve passes streams to handler until the server is closed.
func (s *Server) Serve(handler Handler) error {
	s.handler = handler
	acceptor := tcp.NewAcceptor(s.listener, s.clock, s.log, s.shed)
	for {
		conn, err := acceptor.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("serve VMs: %w", err)
		}
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			s.serveConn(conn)
		}()
	}
}

func (s *Server) serveConn(conn net.Conn) {
	conn, from, err := s.identity.secure(conn, false, s.clock.Now())
	if err != nil {
		event := events.HandshakeFailed
		if errors.Is(err, ErrUnauthenticated) {
			event = events.PeerRejected
		}
		s.log.Event(event).Err(err).Str("address", conn.RemoteAddr().String()).Emit()
		_ = conn.Close()
		return
	}
	session, err := newSession(conn, s.clock, false)
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	if !s.track(session) {
		return
	}
	defer s.untrack(session)
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		go s.serveStream(&Stream{conn: stream, reader: bufio.NewReader(stream), from: from})
	}
}

// track registers the session and reports whether it may be served, which is
// false if its handshake ended after Close.
func (s *Server) track(session *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

func (s *Server) untrack(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

// serveStream cancels the handler's context when the other end closes the
// stream.
func (s *Server) serveStream(stream *Stream) {
	defer func() { _ = stream.conn.Close() }()
	var open vmpb.Open
	if err := ReadMessage(stream.reader, &open); err != nil {
		return
	}
	if open.GetExchange() != nil {
		s.serveExchange(stream)
		return
	}
	ctx, cancel := context.WithCancel(traces.WithTraceparent(context.Background(), open.GetTraceParent()))
	defer cancel()
	go func() {
		_, _ = stream.reader.ReadByte()
		cancel()
		// The other end reads nothing more; a write would wait for it.
		_ = stream.conn.SetWriteDeadline(time.Unix(1, 0))
	}()
	s.handler(ctx, &open, stream)
}

// Close stops accepting and closes every connection.
func (s *Server) Close() {
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Lock()
	s.closed = true
	for session := range s.sessions {
		_ = session.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}
