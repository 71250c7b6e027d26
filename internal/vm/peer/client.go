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

	// healthCheckInterval and healthCheckTimeout bound how long a request waits
	// for a VM that was paused or disconnected.
	healthCheckInterval = 500 * time.Millisecond
	healthCheckTimeout  = time.Second
	// connectTimeout bounds how long connecting may take, handshake included.
	connectTimeout = 1500 * time.Millisecond
	// redialDelay is how long requests fail at once after a failed connection
	// attempt instead of waiting for another one.
	redialDelay = 200 * time.Millisecond
)

// ErrUnsent means that a request certainly did not reach the other VM.
var ErrUnsent = errors.New("request was not sent")

// Invoker sends a request to the VM at an address, directly or through relays,
// and decodes the reply.
type Invoker interface {
	Invoke(ctx context.Context, address string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error)
}

// Client keeps one connection to each VM that it sends requests to.
type Client struct {
	identity identity
	clock    hawthornrail.Clock
	dialer   hawthornrail.Dialer

	// ctx is cancelled when the client is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one address.
type link struct {
	mu sync.Mutex
	// dialing is closed when the current connection attempt has succeeded or
	// failed; it is nil if there is none.
	dialing         chan struct{}
	session         *session
	remote          hawthornrail.Instance
	requests        *requestStream
	requestsSession *session
	failedAt        time.Time
	err             error

	pending  atomic.Int64
	watching atomic.Bool
}

// NewClient returns a client that authenticates as self with secret. mutual is
// nil if the settings disable TLS.
func NewClient(self hawthornrail.Instance, secret []byte, mutual *vmtls.Mutual, clock hawthornrail.Clock, dialer hawthornrail.Dialer) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		identity: identity{self: self, secret: secret, mutual: mutual},
		clock:    clock,
		dialer:   dialer,
		ctx:      ctx,
		cancel:   cancel,
		links:    make(map[string]*link),
	}
}

// Exchange is the client side of one request's stream.
type Exchange struct {
	stream net.Conn
	reader *bufio.Reader
	remote hawthornrail.Instance
	stop   func() bool
	link   *link
}

// Open sends the first message of a new stream to the VM at an address; an
// error that wraps ErrUnsent means that the VM can't have received it.
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
	stop := context.AfterFunc(ctx, func() { closeStream(stream) })
	open.TraceParent = traces.Traceparent(ctx)
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
	closeStream(e.stream)
	e.link.pending.Add(-1)
}

// closeStream closes a stream and ends its reads, which would otherwise wait until the
// other end closes it too.
func closeStream(stream net.Conn) {
	// Neither fails but on a stream that has ended.
	_ = stream.SetReadDeadline(time.Unix(1, 0))
	_ = stream.Close()
}

// Invoke sends a request to the VM at an address and reads its single reply; an
// error that wraps ErrUnsent means that the VM can't have received the request.
func (c *Client) Invoke(ctx context.Context, address string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	payload, remote, err := c.InvokeEncoded(ctx, address, open)
	if err != nil {
		return remote, err
	}
	if err := proto.Unmarshal(payload, reply); err != nil {
		return remote, fmt.Errorf("decode answer: %w", err)
	}
	return remote, nil
}

// InvokeEncoded is like Invoke but returns the encoded reply.
func (c *Client) InvokeEncoded(ctx context.Context, address string, open *vmpb.Open) ([]byte, hawthornrail.Instance, error) {
	requests, remote, err := c.requestStreamTo(ctx, address)
	if err != nil {
		return nil, remote, errors.Join(ErrUnsent, err)
	}
	open.TraceParent = traces.Traceparent(ctx)
	l := c.link(address)
	l.pending.Add(1)
	defer l.pending.Add(-1)
	c.watch(l)
	payload, err := requests.send(ctx, open)
	if err != nil {
		return nil, remote, fmt.Errorf("ask VM at %s: %w", address, err)
	}
	return payload, remote, nil
}

// Self returns the instance that the client authenticates as.
func (c *Client) Self() hawthornrail.Instance { return c.identity.self }

// requestStreamTo returns the stream for requests to an address and opens a new
// one if the last has failed.
func (c *Client) requestStreamTo(ctx context.Context, address string) (*requestStream, hawthornrail.Instance, error) {
	l := c.link(address)
	session, remote, err := c.connect(ctx, l, address)
	if err != nil {
		return nil, remote, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requests != nil && l.requestsSession == session && !l.requests.failed() {
		return l.requests, remote, nil
	}
	stream, err := session.Open()
	if err != nil {
		return nil, remote, fmt.Errorf("open stream to %s: %w", address, err)
	}
	r, err := newRequestStream(stream)
	if err != nil {
		_ = stream.Close()
		return nil, remote, err
	}
	l.requests, l.requestsSession = r, session
	return r, remote, nil
}

// Close closes every connection and cancels connection attempts.
func (c *Client) Close() {
	c.cancel()
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

// connect returns the session to an address. The connection attempt does not
// use the context of the requests that wait for it: a request close to its
// deadline would otherwise cancel the attempt for all of them, and a slow VM
// would never be reached.
func (c *Client) connect(ctx context.Context, l *link, address string) (*session, hawthornrail.Instance, error) {
	for {
		session, remote, dialing, err := c.sessionOrDial(l, address)
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

// sessionOrDial returns the session of a link or the error of the last
// connection attempt. It starts an attempt if necessary and, during an attempt,
// returns what is closed at the end of it.
func (c *Client) sessionOrDial(l *link, address string) (*session, hawthornrail.Instance, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.session != nil && !l.session.IsClosed():
		return l.session, l.remote, nil, nil
	case l.dialing != nil:
		return nil, hawthornrail.Instance{}, l.dialing, nil
	case l.err != nil && c.clock.Since(l.failedAt) < redialDelay:
		return nil, hawthornrail.Instance{}, nil, l.err
	}
	l.dialing = make(chan struct{})
	go c.establish(l, address)
	return nil, hawthornrail.Instance{}, l.dialing, nil
}

func (c *Client) establish(l *link, address string) {
	ctx, cancel := context.WithTimeout(c.ctx, connectTimeout)
	defer cancel()
	session, remote, err := c.dial(ctx, address)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session, l.remote, l.err = session, remote, err
	if err != nil {
		l.failedAt = c.clock.Now()
	}
	if err == nil && c.ctx.Err() != nil {
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

// watch checks the other end regularly while requests wait for it, and closes
// the session if it does not respond.
func (c *Client) watch(l *link) {
	if l.watching.Swap(true) {
		return
	}
	go func() {
		for {
			c.clock.Sleep(healthCheckInterval)
			if l.pending.Load() == 0 {
				l.watching.Store(false)
				if l.pending.Load() == 0 || l.watching.Swap(true) {
					return
				}
			}
			if session := l.current(); session != nil && !c.responds(session) {
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

func (c *Client) responds(session *session) bool {
	replied := make(chan error, 1)
	go func() {
		_, err := session.Ping()
		replied <- err
	}()
	select {
	case err := <-replied:
		return err == nil
	case <-c.clock.After(healthCheckTimeout):
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

// Send writes a reply; a request that was sent with Invoke takes a single one.
func (s *Stream) Send(m proto.Message) error {
	if s.replier != nil {
		return s.replier.send(m)
	}
	return WriteMessage(s.conn, m)
}
