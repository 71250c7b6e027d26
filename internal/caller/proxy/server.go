package proxy

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/forward"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
	"hawthornrail.example/hawthornrail/internal/policy/memory"
)

const (
	// idleTimeout is how long a connection may stay open without a request; it
	// exceeds the keep-alive time that callers assume.
	idleTimeout = 2 * time.Minute
	// readTimeout bounds how long a request may take to arrive.
	readTimeout = 15 * time.Second
	// writeTimeout bounds how long a caller may leave a part of a response unread.
	writeTimeout = 30 * time.Second
)

// closePollInterval is how often Abort looks whether all connections are closed.
const closePollInterval = 10 * time.Millisecond

// errAborted is the cause of the contexts of requests that outlast the drain time.
var errAborted = errors.New("VM shuts down")

// errResponsesFull means that responses which their callers have not read yet hold as much
// memory as they may.
var errResponsesFull = errors.New("unread responses exceed their memory limit")

// errCallerDisconnected is the cause of a context whose caller closed its
// connection.
var errCallerDisconnected = errors.New("caller has left")

// Dependencies are the dependencies and limits of a Server.
type Dependencies struct {
	Handler  hawthornrail.ForwardHandler
	Codec    hawthornrail.CallerCodec
	Clock    hawthornrail.Clock
	Recorder *trail.Recorder
	Forwards *metrics.Forwards
	Log      events.Logger
	// Memory counts the bytes of all requests, and ResponsesFull reports whether what is
	// held of responses leaves no room for further ones.
	Memory        *memory.Budget
	ResponsesFull func() bool
	// MaxHeaderBytes and MaxBodyBytes bound a request, and MaxConnections the open
	// connections.
	MaxHeaderBytes int
	MaxBodyBytes   int
	MaxConnections int
}

// Server serves callers whose requests are forwarded.
type Server struct {
	deps Dependencies
	// http serves requests with short heads, and longHeads others.
	http      *fasthttp.Server
	longHeads *fasthttp.Server
	inFlight  atomic.Int64
	draining  atomic.Bool
	// requests is the parent of the contexts of all requests.
	requests context.Context
	abort    context.CancelCauseFunc
	conns    *connections

	mu       sync.Mutex
	listener net.Listener
	stopped  bool
}

// New returns a server with the given dependencies.
func New(deps Dependencies) *Server {
	s := &Server{deps: deps, conns: newConnections(deps.MaxConnections)}
	s.requests, s.abort = context.WithCancelCause(context.Background())
	s.http = s.newLibrary(min(smallHeadBytes, deps.MaxHeaderBytes))
	s.longHeads = s.newLibrary(deps.MaxHeaderBytes)
	return s
}

// newLibrary returns a server of the library that reads heads up to a size.
func (s *Server) newLibrary(headBytes int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: s.handle, ReadBufferSize: headBytes,
		// The handler reads the body as far as memory allows; the library reads a byte of it
		// before.
		StreamRequestBody: true, MaxRequestBodySize: 1, ExpectHandler: s.expect,
		ConnState:   func(c net.Conn, state fasthttp.ConnState) { c.(*conn).setState(state) },
		IdleTimeout: idleTimeout, ReadTimeout: readTimeout,
		NoDefaultServerHeader: true, NoDefaultContentType: true, NoDefaultDate: true,
		CloseOnShutdown: true, ReduceMemoryUsage: true, ErrorHandler: s.writeReadError, Logger: discardLogger{},
		// A parsed form is written anew, which changes the body.
		DisablePreParseMultipartForm: true,
	}
}

// StartDraining starts draining: every response closes its connection, so that
// callers connect to other VMs.
func (s *Server) StartDraining() { s.draining.Store(true) }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// discardLogger drops the log lines of fasthttp: the trail of each request
// records how the request ended.
type discardLogger struct{}

// Printf drops a log line.
func (discardLogger) Printf(string, ...any) {}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	framingErr := checkFraming(&c.Request.Header)
	if s.draining.Load() || framingErr != nil {
		c.SetConnectionClose()
	}
	from := c.Conn().(*conn)
	var body []byte
	err := framingErr
	if err == nil {
		body, err = s.readBody(c, from)
	}
	if err != nil {
		from.lingers = true
		c.SetConnectionClose()
	}
	r, headErr := s.readRequest(c, body)
	err = errors.Join(err, headErr)
	e := &exchange{server: s, request: r, conn: from}
	if err != nil {
		s.refuseRequest(c, e, err)
		return
	}
	r.SetMemory(e)
	e.begin()
	response, err := s.deps.Handler.Forward(e.ctx, r)
	if err != nil {
		e.end(err)
		s.writeFailure(c, err)
		return
	}
	s.deps.Forwards.FirstByte(r.Route().Kind(), s.deps.Clock.Since(r.Received()))
	s.writeResponse(c, e, response)
}

// refuseRequest ends a request that is malformed or does not fit in memory.
func (s *Server) refuseRequest(c *fasthttp.RequestCtx, e *exchange, err error) {
	e.trail = s.deps.Recorder.Start(e.request.ID())
	s.writeFailure(c, err)
	event := events.ForwardRefused
	switch {
	case errors.Is(err, memory.ErrFull), errors.Is(err, errResponsesFull):
		event = events.MemoryFull
	case errors.Is(err, errEvicted):
		event = events.RequestEvicted
	}
	e.trail.Event(event).Int("held_bytes", int(s.deps.Memory.Held())).Err(err).Emit()
	e.trail.Close(true)
	e.conn.memory.ShrinkTo(e.conn.headBytes)
}

// readRequest returns a request with the parts that are forwarded unchanged, and a
// Failure if it is malformed.
func (s *Server) readRequest(c *fasthttp.RequestCtx, body []byte) (*hawthornrail.ForwardRequest, error) {
	host, uri, err := target(&c.Request.Header)
	path, _, _ := strings.Cut(uri, "?")
	r := hawthornrail.NewForwardRequest(string(c.Method()), host, uri, path, body, s.deps.Clock.Now())
	r.SetHeaders(s.forwardedHeaders(c))
	return r, errors.Join(err, s.deps.Codec.Read(&c.Request.Header, r))
}

// forwardedHeaders returns the fields that are forwarded.
func (s *Server) forwardedHeaders(c *fasthttp.RequestCtx) []hawthornrail.Header {
	var headers []hawthornrail.Header
	connectionOnly := connectionHeaders(c)
	for key, value := range c.Request.Header.All() {
		name := string(key)
		if forward.IsHopByHop(name) || name == fasthttp.HeaderHost || connectionOnly[strings.ToLower(name)] || !s.deps.Codec.Forwarded(name) {
			continue
		}
		headers = append(headers, hawthornrail.NewHeader(name, string(value)))
	}
	return headers
}

// connectionHeaders returns the names of the fields that the Connection field
// lists.
func connectionHeaders(c *fasthttp.RequestCtx) map[string]bool {
	value := c.Request.Header.Peek(fasthttp.HeaderConnection)
	if len(value) == 0 {
		return nil
	}
	connectionOnly := make(map[string]bool)
	for part := range bytes.SplitSeq(value, []byte{','}) {
		connectionOnly[strings.ToLower(string(bytes.TrimSpace(part)))] = true
	}
	return connectionOnly
}

func (s *Server) writeFailure(c *fasthttp.RequestCtx, err error) {
	s.fillFailure(&c.Response, hawthornrail.AsFailure(err))
}

// fillFailure sets a response to that of a failure.
func (s *Server) fillFailure(response *fasthttp.Response, f *hawthornrail.Failure) {
	status, headers := s.deps.Codec.Failure(f)
	response.SetStatusCode(status)
	for _, h := range headers {
		response.Header.Add(h.Name(), h.Value())
	}
	response.Header.SetContentType("text/plain")
	response.SetBodyString(string(f.Code()) + "\n")
}

func (s *Server) writeResponse(c *fasthttp.RequestCtx, e *exchange, response *hawthornrail.ForwardResponse) {
	c.SetStatusCode(response.Status())
	for _, h := range response.Headers() {
		c.Response.Header.Add(h.Name(), h.Value())
	}
	if response.Stream() == nil {
		// The body counts as held until the caller has read it.
		c.Response.SetBodyRaw(response.Body())
		e.conn.release = response.Release
		e.end(nil)
		return
	}
	c.SetBodyStream(&responseBody{exchange: e, response: response}, -1)
}
