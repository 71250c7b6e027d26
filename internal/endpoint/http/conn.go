package http

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/singleflight"
	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	idleTimeout = 5 * time.Second
	// keepAliveMargin is subtracted from the endpoint's keep-alive timeout, so that
	// an idle connection is not reused just as the endpoint closes it.
	keepAliveMargin = 500 * time.Millisecond
	maxIdleConns    = 64

	// maxDiscardBytes and discardTimeout bound what is read to keep a connection: a
	// new one costs less.
	maxDiscardBytes = 4 << 10
	discardTimeout  = 20 * time.Millisecond

	// unusedHeads is how many of the longest heads may arrive in a row without one that
	// is used.
	unusedHeads = 2

	// closeDelimited is the content length that fasthttp reports for a body that
	// ends when its connection is closed.
	closeDelimited = -2

	// defaultMaxHeadBytes bounds a response's status line and header fields unless
	// LimitHeads sets another bound.
	defaultMaxHeadBytes = 64 << 10
)

// maxStrayResponses bounds how many responses are read from a connection to
// find the one that belongs to the request.
const maxStrayResponses = 4

var errStrayResponses = errors.New("responses belong to other requests")

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

type conn struct {
	net.Conn
	reader *bufio.Reader
	// used is set once a response has been read from the connection.
	used bool
	// observer is told of the bytes that arrive for the current request, if any.
	observer Observer
	// unused counts the bytes that have arrived since the last part of a head or a body
	// was used, and maxUnused bounds them: an endpoint may send without end where a
	// response holds nothing to use, such as interim responses.
	unused    int
	maxUnused int
}

// Read reads from the connection and tells the observer that the endpoint was heard.
func (c *conn) Read(p []byte) (int, error) {
	if c.flooded() {
		return 0, ErrOversized
	}
	// One part must not use up the bound: the end of a chunk may be read before the chunk
	// counts as used.
	n, err := c.Conn.Read(p[:min(len(p), c.maxUnused/unusedHeads)])
	c.unused += n
	if n > 0 && c.observer != nil {
		c.observer.Heard()
	}
	return n, err
}

// flooded reports whether the endpoint has sent too many bytes that can't be used.
func (c *conn) flooded() bool { return c.unused > c.maxUnused }

// explain returns err with its reason if it comes from a flooded connection.
func (c *conn) explain(err error) error {
	if c.flooded() && !errors.Is(err, ErrOversized) {
		return fmt.Errorf("%w: %w", ErrOversized, err)
	}
	return err
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

// Exchange is a response whose body is still arriving.
type Exchange struct {
	transport  *Transport
	address    string
	conn       *conn
	response   *fasthttp.Response
	status     int
	accept     Accept
	stopCancel func() bool
	finished   bool
	buffer     *Buffer
}

// Accept reports whether a response belongs to the request that was sent; a
// response that does not is read to its end and discarded. used reports that the
// connection has carried other requests before.
type Accept func(h *fasthttp.ResponseHeader, used bool) bool

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

func (e *Exchange) roundTrip(request *fasthttp.Request) error {
	w := bufio.NewWriter(e.conn)
	if err := request.Write(w); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	for range maxStrayResponses {
		if err := e.readHead(request); err != nil {
			return err
		}
		if e.accept(&e.response.Header, e.conn.used) {
			return nil
		}
		if err := e.discardBody(); err != nil {
			return err
		}
	}
	return errStrayResponses
}

func (e *Exchange) readHead(request *fasthttp.Request) error {
	e.response = fasthttp.AcquireResponse()
	e.response.StreamBody = true
	e.response.SkipBody = request.Header.IsHead()
	status, err := readFinalHead(e.conn.reader, e.response)
	for errors.Is(err, bufio.ErrBufferFull) && e.conn.growReader(e.transport.maxHeadBytes) {
		status, err = readFinalHead(e.conn.reader, e.response)
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		err = fmt.Errorf("%w: head of more than %d bytes", ErrOversized, e.transport.maxHeadBytes)
	}
	if err == nil && hasBody(e.response) {
		err = e.response.ReadBody(e.conn.reader, 0)
	}
	if err != nil {
		return fmt.Errorf("read response: %w", e.conn.explain(err))
	}
	e.status = status
	e.conn.unused = 0
	return nil
}

// hasBody reports whether a body follows a head.
func hasBody(r *fasthttp.Response) bool {
	status := r.StatusCode()
	return !r.SkipBody && !isInterim(status) && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// growReader doubles the buffer, up to maxBytes, and reports whether it could. Most
// responses have short heads, so that connections start with a small one.
func (c *conn) growReader(maxBytes int) bool {
	size := c.reader.Size()
	if size >= maxBytes {
		return false
	}
	// What is buffered can be peeked at without an error.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	rest := bytes.NewReader(bytes.Clone(buffered))
	c.reader = bufio.NewReaderSize(io.MultiReader(rest, c), min(2*size, maxBytes))
	return true
}

// discardBody reads a response that belongs to another request to its end, which has
// to come before as many bytes as a body may have.
func (e *Exchange) discardBody() error {
	if !e.Framed() {
		return errStrayResponses
	}
	limit := int64(e.transport.buffers.limits.BodyBytes)
	n, err := io.Copy(io.Discard, io.LimitReader(e, limit+1))
	if err != nil {
		return fmt.Errorf("read stray response: %w", err)
	}
	if n > limit {
		return fmt.Errorf("read stray response: %w", ErrOversized)
	}
	e.finished = false
	_ = e.response.CloseBodyStream()
	return nil
}

// Header returns the header of the response.
func (e *Exchange) Header() *fasthttp.ResponseHeader { return &e.response.Header }

// Status returns the HTTP status as the endpoint sent it, which may be invalid.
func (e *Exchange) Status() int { return e.status }

// ContentType returns the media type of the body.
func (e *Exchange) ContentType() string { return string(e.response.Header.ContentType()) }

// Framed reports whether the end of the body can be distinguished from a closed
// connection.
func (e *Exchange) Framed() bool {
	return e.response.SkipBody || e.response.Header.ContentLength() != closeDelimited
}

// Read reads the body; io.EOF means that the body is complete, as far as its
// framing shows.
func (e *Exchange) Read(p []byte) (int, error) {
	body := e.response.BodyStream()
	if body == nil {
		e.finished = true
		return 0, io.EOF
	}
	n, err := body.Read(p)
	if n > 0 {
		e.conn.unused = 0
	}
	if errors.Is(err, io.EOF) {
		e.finished = true
		return n, err
	}
	if err != nil {
		err = e.conn.explain(err)
	}
	return n, err
}

// Hold records that the caller holds a number of bytes of the body until Close; it
// returns ErrOversized or ErrBuffersFull if it may not.
func (e *Exchange) Hold(bytes int) error { return e.buffer.Hold(bytes) }

// ReadAll reads the body to its end.
func (e *Exchange) ReadAll() ([]byte, error) { return e.buffer.ReadAll(e) }

// Discard reads a short body, so that the connection can be used again. It gives up a
// body that is long or does not arrive.
func (e *Exchange) Discard() {
	if e.response.Header.ContentLength() > maxDiscardBytes || e.conn.SetReadDeadline(e.transport.clock.Now().Add(discardTimeout)) != nil {
		return
	}
	// What can't be read leaves the connection unfinished, and Close closes it.
	_, _ = io.Copy(io.Discard, io.LimitReader(e, maxDiscardBytes))
	if e.conn.SetReadDeadline(time.Time{}) != nil {
		e.finished = false
	}
}

// Close returns the connection to the pool if the body was read to its end, and
// closes it otherwise.
func (e *Exchange) Close() {
	e.buffer.Release()
	notCancelled := e.stopCancel()
	reusable := notCancelled && e.finished && e.response != nil && !e.response.ConnectionClose() && e.Framed() && e.conn.reader.Buffered() == 0
	keepFor := idleTimeout
	if e.response != nil {
		keepFor = keepAlive(&e.response.Header)
		_ = e.response.CloseBodyStream()
	}
	if reusable {
		e.conn.used, e.conn.observer = true, nil
		e.transport.putIdle(e.address, e.conn, keepFor)
		return
	}
	_ = e.conn.Close()
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
