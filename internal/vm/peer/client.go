package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
	vmtls "hawthornrail.example/hawthornrail/internal/vm/tls"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	keepAliveInterval  = 5 * time.Second
	writeTimeout       = 2 * time.Second
	streamCloseTimeout = 10 * time.Second
	streamWindowBytes  = 1 << 20

	// pingInterval and pingTimeout bound how long a request waits for a VM
	// that was paused or cut off.
	pingInterval = 500 * time.Millisecond
	pingTimeout  = time.Second
	// connectTimeout bounds how long a connection may take, handshake included.
	connectTimeout = 1500 * time.Millisecond
	// redialDelay is the time after a failed connection in which no other one
	// is tried, so that requests do not queue for it.
	redialDelay = 200 * time.Millisecond
)

// ErrUnsent means that a request provably did not reach the other VM.
var ErrUnsent = errors.New("request was not sent")

// Asker asks the VM at an address a question, directly or through others.
type Asker interface {
	Ask(ctx context.Context, address string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error)
}

// Client keeps one connection to each VM that it talks to.
type Client struct {
	identity identity
	clock    hawthornrail.Clock
	dialer   hawthornrail.Dialer

	// ending is done once the client is closed.
	ending context.Context
	end    context.CancelFunc

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one address.
type link struct {
	mu sync.Mutex
	// dialing is closed when the connection that is being made stands or has
	// failed; it is nil while none is made.
	dialing chan struct{}
	session *session
	remote  hawthornrail.Instance
	asker   *asker
	askerOf *session
	failed  time.Time
	err     error

	pending  atomic.Int64
	watching atomic.Bool
}

// NewClient returns a client that proves itself as self under secret.
// mutual is nil where the settings switch TLS off.
func NewClient(self hawthornrail.Instance, secret []byte, mutual *vmtls.Mutual, clock hawthornrail.Clock, dialer hawthornrail.Dialer) *Client {
	ending, end := context.WithCancel(context.Background())
	return &Client{
		identity: identity{self: self, secret: secret, mutual: mutual},
		clock:    clock,
		dialer:   dialer,
		ending:   ending,
		end:      end,
		links:    make(map[string]*link),
	}
}

// Exchange is one request's stream at the asking end.
type Exchange struct {
	stream net.Conn
	reader *bufio.Reader
	remote hawthornrail.Instance
	stop   func() bool
	link   *link
}

// Open sends the first message of a new stream to the VM at an address; an
// error that wraps ErrUnsent means that the VM can't have seen it.
func (c *Client) Open(ctx context.Context, address string, open *vmpb.Open) (*Exchange, error) {
	l := c.link(address)
	session, remote, err := c.connect(ctx, l, address)
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	stream, err := session.Open()
	if err != nil {
		l.drop(session)
		return nil, errors.Join(ErrUnsent, fmt.Errorf("open stream to %s: %w", address, err))
	}
	l.pending.Add(1)
	c.watch(l)
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	open.TraceParent = traces.Parent(ctx)
	if err := WriteMessage(stream, open); err != nil {
		stop()
		_ = stream.Close()
		l.pending.Add(-1)
		return nil, err
	}
	return &Exchange{stream: stream, reader: bufio.NewReader(stream), remote: remote, stop: stop, link: l}, nil
}

// Remote returns the instance at the other end.
func (e *Exchange) Remote() hawthornrail.Instance { return e.remote }

// Receive reads the next message into m.
func (e *Exchange) Receive(m proto.Message) error { return ReadMessage(e.reader, m) }

// Close ends the exchange; the other end's context is cancelled.
func (e *Exchange) Close() {
	e.stop()
	_ = e.stream.Close()
	e.link.pending.Add(-1)
}

// Ask sends a question to the VM at an address and reads the one reply; an
// error that wraps ErrUnsent means that the VM can't have seen the question.
func (c *Client) Ask(ctx context.Context, address string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	payload, remote, err := c.AskEncoded(ctx, address, open)
	if err != nil {
		return remote, err
	}
	if err := proto.Unmarshal(payload, reply); err != nil {
		return remote, fmt.Errorf("decode answer: %w", err)
	}
	return remote, nil
}

// AskEncoded is Ask for a reply that is not decoded here.
func (c *Client) AskEncoded(ctx context.Context, address string, open *vmpb.Open) ([]byte, hawthornrail.Instance, error) {
	a, remote, err := c.asker(ctx, address)
	if err != nil {
		return nil, remote, errors.Join(ErrUnsent, err)
	}
	open.TraceParent = traces.Parent(ctx)
	l := c.link(address)
	l.pending.Add(1)
	defer l.pending.Add(-1)
	c.watch(l)
	payload, err := a.ask(ctx, open)
	if err != nil {
		return nil, remote, fmt.Errorf("ask VM at %s: %w", address, err)
	}
	return payload, remote, nil
}

// Self returns the instance that the client speaks for.
func (c *Client) Self() hawthornrail.Instance { return c.identity.self }

// asker returns the stream for questions to an address, a new one if the last
// has failed.
func (c *Client) asker(ctx context.Context, address string) (*asker, hawthornrail.Instance, error) {
	l := c.link(address)
	session, remote, err := c.connect(ctx, l, address)
	if err != nil {
		return nil, remote, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asker != nil && l.askerOf == session && !l.asker.failed() {
		return l.asker, remote, nil
	}
	stream, err := session.Open()
	if err != nil {
		return nil, remote, fmt.Errorf("open stream to %s: %w", address, err)
	}
	a, err := newAsker(stream)
	if err != nil {
		_ = stream.Close()
		return nil, remote, err
	}
	l.asker, l.askerOf = a, session
	return a, remote, nil
}

// Close closes every connection, also those that are being made.
func (c *Client) Close() {
	c.end()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.mu.Lock()
		if l.session != nil {
			_ = l.session.Close()
		}
		l.mu.Unlock()
	}
}

func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[address]
	if !ok {
		l = &link{}
		c.links[address] = l
	}
	return l
}

// connect returns the session to an address. A connection is made apart from
// the requests that wait for it: one with little time left would otherwise end
// it for all, and a slow VM would never be reached.
func (c *Client) connect(ctx context.Context, l *link, address string) (*session, hawthornrail.Instance, error) {
	for {
		session, remote, dialing, err := c.dialed(l, address)
		if dialing == nil {
			return session, remote, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, hawthornrail.Instance{}, fmt.Errorf("connect to VM at %s: %w", address, ctx.Err())
		}
	}
}

// dialed returns the session of a link or why there is none; while a connection
// is made, it returns what is closed at its end.
func (c *Client) dialed(l *link, address string) (*session, hawthornrail.Instance, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.session != nil && !l.session.IsClosed():
		return l.session, l.remote, nil, nil
	case l.dialing != nil:
		return nil, hawthornrail.Instance{}, l.dialing, nil
	case l.err != nil && c.clock.Since(l.failed) < redialDelay:
		return nil, hawthornrail.Instance{}, nil, l.err
	}
	l.dialing = make(chan struct{})
	go c.establish(l, address)
	return nil, hawthornrail.Instance{}, l.dialing, nil
}

func (c *Client) establish(l *link, address string) {
	ctx, cancel := context.WithTimeout(c.ending, connectTimeout)
	defer cancel()
	session, remote, err := c.dial(ctx, address)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session, l.remote, l.err = session, remote, err
	if err != nil {
		l.failed = c.clock.Now()
	}
	if err == nil && c.ending.Err() != nil {
		_ = session.Close()
	}
	close(l.dialing)
	l.dialing = nil
}

func (c *Client) dial(ctx context.Context, address string) (*session, hawthornrail.Instance, error) {
	raw, err := c.dialer.Dial(ctx, address)
	if err != nil {
		return nil, hawthornrail.Instance{}, fmt.Errorf("dial VM: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	conn, remote, err := c.identity.secure(raw, true, c.clock.Now())
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, hawthornrail.Instance{}, fmt.Errorf("VM at %s: %w", address, err)
	}
	session, err := newSession(conn, c.clock, true)
	if err != nil {
		return nil, hawthornrail.Instance{}, fmt.Errorf("VM at %s: %w", address, err)
	}
	return session, remote, nil
}

// watch pings the other end while requests wait for it, and closes the
// session when it does not answer.
func (c *Client) watch(l *link) {
	if l.watching.Swap(true) {
		return
	}
	go func() {
		for {
			c.clock.Sleep(pingInterval)
			if l.pending.Load() == 0 {
				l.watching.Store(false)
				if l.pending.Load() == 0 || l.watching.Swap(true) {
					return
				}
			}
			if session := l.current(); session != nil && !c.alive(session) {
				l.drop(session)
			}
		}
	}()
}

func (l *link) current() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session
}

func (c *Client) alive(session *session) bool {
	answered := make(chan error, 1)
	go func() {
		_, err := session.Ping()
		answered <- err
	}()
	select {
	case err := <-answered:
		return err == nil
	case <-c.clock.After(pingTimeout):
		return false
	}
}

func (l *link) drop(session *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == session {
		l.session = nil
	}
	_ = session.Close()
}

// Send writes a reply on a serving stream; a question takes one reply.
func (s *Stream) Send(m proto.Message) error {
	if s.question != nil {
		return s.question.send(m)
	}
	return WriteMessage(s.conn, m)
}
