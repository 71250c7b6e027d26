package http

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	idleTimeout  = 5 * time.Second
	maxIdleConns = 64

	// closeDelimited is the content length of a body that ends with its
	// connection.
	closeDelimited = -2
)

// ErrUnsent means that no byte of the request left this VM.
var ErrUnsent = errors.New("request was not sent")

// Transport keeps idle connections to endpoints.
type Transport struct {
	clock  hawthornrail.Clock
	dialer hawthornrail.Dialer

	mu   sync.Mutex
	idle map[string][]idleConn
}

type idleConn struct {
	conn  *conn
	since time.Time
}

type conn struct {
	net.Conn
	reader *bufio.Reader
}

// New returns a transport without connections.
func New(clock hawthornrail.Clock, dialer hawthornrail.Dialer) *Transport {
	return &Transport{clock: clock, dialer: dialer, idle: make(map[string][]idleConn)}
}

// Exchange is a response whose body is still arriving.
type Exchange struct {
	transport *Transport
	address   string
	conn      *conn
	response  *fasthttp.Response
	stop      func() bool
	finished  bool
}

// Do sends a request to an address and reads the response's header; ctx
// closes the connection, which cancels the request at the endpoint. With
// fresh set it uses a new connection, so that a stale one can't leave it open
// whether the request was sent, and no late answer to an earlier request can
// be taken for this one's.
func (t *Transport) Do(ctx context.Context, address string, request *fasthttp.Request, fresh bool) (*Exchange, error) {
	c, err := t.connect(ctx, address, fresh)
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	if err := t.maySend(ctx); err != nil {
		_ = c.Close()
		return nil, errors.Join(ErrUnsent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	e := &Exchange{transport: t, address: address, conn: c, stop: stop}
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
	e.response = fasthttp.AcquireResponse()
	e.response.StreamBody = true
	e.response.SkipBody = request.Header.IsHead()
	if err := e.response.ReadLimitBody(e.conn.reader, 0); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	return nil
}

// Status returns the HTTP status.
func (e *Exchange) Status() int { return e.response.StatusCode() }

// ContentType returns the media type of the body.
func (e *Exchange) ContentType() string { return string(e.response.Header.ContentType()) }

// Framed reports whether the body's end can be told from a cut connection.
func (e *Exchange) Framed() bool {
	return e.response.SkipBody || e.response.Header.ContentLength() != closeDelimited
}

// Read reads the body; io.EOF means that the body is whole as framed.
func (e *Exchange) Read(p []byte) (int, error) {
	body := e.response.BodyStream()
	if body == nil {
		e.finished = true
		return 0, io.EOF
	}
	n, err := body.Read(p)
	if errors.Is(err, io.EOF) {
		e.finished = true
	}
	return n, err
}

// Close gives the connection back if the body was read to its end.
func (e *Exchange) Close() {
	live := e.stop()
	keep := live && e.finished && e.response != nil && !e.response.ConnectionClose() && e.conn.reader.Buffered() == 0
	if e.response != nil {
		_ = e.response.CloseBodyStream()
	}
	if keep {
		e.transport.put(e.address, e.conn)
		return
	}
	_ = e.conn.Close()
}

func (t *Transport) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := t.take(address); c != nil {
			return c, nil
		}
	}
	raw, err := t.dialer.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial endpoint: %w", err)
	}
	return &conn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

func (t *Transport) take(address string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := t.idle[address]
	for len(conns) > 0 {
		last := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		t.idle[address] = conns
		if t.clock.Since(last.since) < idleTimeout {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

func (t *Transport) put(address string, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[address]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	t.idle[address] = append(t.idle[address], idleConn{conn: c, since: t.clock.Now()})
}
