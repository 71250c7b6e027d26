package http

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/singleflight"
	hawthornrail "hawthornrail.example/hawthornrail"
)

// defaultMaxHeadBytes bounds a response's status line and header fields unless
// LimitHeads sets another bound.
const defaultMaxHeadBytes = 64 << 10

// ErrUnsent means that no byte of the request left this VM.
var ErrUnsent = errors.New("request was not sent")

// Transport sends requests to endpoints and pools idle connections.
type Transport struct {
	clock  hawthornrail.Clock
	dialer hawthornrail.Dialer

	// maxHeadBytes bounds a response's status line and header fields, and buffers
	// what is collected of bodies.
	maxHeadBytes int
	buffers      *Buffers

	dialed atomic.Int64

	refusals singleflight.Group

	mu   sync.Mutex
	idle map[string][]idleConn
}

// Observer is told what shows whether an endpoint is reached while it has a request.
type Observer interface {
	// Sent is told the connection that the request is sent on.
	Sent(c net.Conn)
	// Heard is told that the endpoint accepted a connection or that bytes arrived.
	Heard()
}

// New returns a transport with an empty pool.
func New(clock hawthornrail.Clock, dialer hawthornrail.Dialer) *Transport {
	return &Transport{clock: clock, dialer: dialer, maxHeadBytes: defaultMaxHeadBytes, buffers: defaultBuffers(), idle: make(map[string][]idleConn)}
}

// LimitHeads bounds the status line and header fields of responses in bytes, and returns
// the transport.
func (t *Transport) LimitHeads(bytes int) *Transport {
	t.maxHeadBytes = bytes
	return t
}

// WithBuffers sets the buffers that collected bodies count in, and returns the
// transport.
func (t *Transport) WithBuffers(b *Buffers) *Transport {
	t.buffers = b
	return t
}

// Do sends a request to an address and reads the response's header. When ctx
// is done the connection is closed, which cancels the request at the endpoint.
// With fresh set, Do opens a new connection: on a reused one it can be uncertain
// whether the request was sent, and a late response to an earlier request could
// be taken for the response to this one. A response with an invalid head is ErrInvalidHead.
func (t *Transport) Do(ctx context.Context, address string, request *fasthttp.Request, fresh bool) (*Exchange, error) {
	e, err := t.do(ctx, address, request, fresh, func(*fasthttp.ResponseHeader, bool) bool { return true }, nil)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(e.status); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// DoAccepted is like Do, but may reuse an idle connection; late responses to
// earlier requests are identified by accept and discarded. observer may be nil. The status
// may be invalid: the head may say that the request has not run.
func (t *Transport) DoAccepted(ctx context.Context, address string, request *fasthttp.Request, accept Accept, observer Observer) (*Exchange, error) {
	return t.do(ctx, address, request, false, accept, observer)
}

func (t *Transport) do(ctx context.Context, address string, request *fasthttp.Request, fresh bool, accept Accept, observer Observer) (*Exchange, error) {
	c, dialed, err := t.connect(ctx, address, fresh)
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	if err := t.checkSendBy(ctx); err != nil {
		_ = c.Close()
		return nil, errors.Join(ErrUnsent, err)
	}
	c.observer, c.unused = observer, 0
	if observer != nil {
		if dialed {
			observer.Heard()
		}
		observer.Sent(c.Conn)
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = c.Close() })
	e := &Exchange{transport: t, address: address, conn: c, stopCancel: stopCancel, accept: accept, buffer: t.buffers.Body()}
	if err := e.roundTrip(request); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// connect returns an idle connection, unless fresh is set, or a new one.
func (t *Transport) connect(ctx context.Context, address string, fresh bool) (c *conn, dialed bool, err error) {
	if !fresh {
		if c := t.takeIdle(address); c != nil {
			return c, false, nil
		}
	}
	netConn, err := t.dialer.Dial(ctx, address)
	if err != nil {
		return nil, false, fmt.Errorf("dial endpoint: %w", err)
	}
	t.dialed.Add(1)
	c = &conn{Conn: netConn, maxUnused: unusedHeads * t.maxHeadBytes}
	c.reader = bufio.NewReader(c)
	return c, true, nil
}

// Dialed returns the number of connections opened since the process started.
func (t *Transport) Dialed() int64 { return t.dialed.Load() }
