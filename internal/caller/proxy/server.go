package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/forward"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
)

const (
	// idleTimeout is how long a connection may stay open without a request; it
	// exceeds the keep-alive time that callers assume.
	idleTimeout = 2 * time.Minute
	// readTimeout bounds how long a request may take to arrive.
	readTimeout = 15 * time.Second
	// writeTimeout bounds how long a caller may leave a response unread.
	writeTimeout = 30 * time.Second
)

// closePollInterval is how often Abort looks whether all connections are closed.
const closePollInterval = 10 * time.Millisecond

// errAborted is the cause of the contexts of requests that outlast the drain time.
var errAborted = errors.New("VM shuts down")

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
	// MaxHeaderBytes and MaxBodyBytes bound a request.
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// Server serves callers whose requests are forwarded.
type Server struct {
	deps     Dependencies
	http     *fasthttp.Server
	inFlight atomic.Int64
	draining atomic.Bool
	// requests is the parent of the contexts of all requests.
	requests context.Context
	abort    context.CancelCauseFunc
}

// New returns a server with the given dependencies.
func New(deps Dependencies) *Server {
	s := &Server{deps: deps}
	s.requests, s.abort = context.WithCancelCause(context.Background())
	s.http = &fasthttp.Server{
		Handler: s.handle, ReadBufferSize: deps.MaxHeaderBytes, MaxRequestBodySize: deps.MaxBodyBytes,
		IdleTimeout: idleTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		NoDefaultServerHeader: true, NoDefaultContentType: true, NoDefaultDate: true,
		CloseOnShutdown: true, ReduceMemoryUsage: true, ErrorHandler: writeReadError, Logger: discardLogger{},
		// A parsed form is written anew, which changes the body.
		DisablePreParseMultipartForm: true,
	}
	return s
}

// Serve serves callers on a listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(listener{l}); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// StartDraining starts draining: every response closes its connection, so that
// callers connect to other VMs.
func (s *Server) StartDraining() { s.draining.Store(true) }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Shutdown stops accepting connections and waits until the requests in flight
// have ended.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down caller server: %w", err)
	}
	return nil
}

// Abort ends the requests that are still in flight and waits, up to a timeout, until
// their callers have been told: a response that has not begun is one that may have run,
// a stream is interrupted.
func (s *Server) Abort(timeout time.Duration) {
	s.abort(errAborted)
	for end := s.deps.Clock.Now().Add(timeout); s.http.GetOpenConnectionsCount() > 0 && s.deps.Clock.Now().Before(end); {
		s.deps.Clock.Sleep(closePollInterval)
	}
}

// discardLogger drops the log lines of fasthttp: the trail of each request
// records how the request ended.
type discardLogger struct{}

// Printf drops a log line.
func (discardLogger) Printf(string, ...any) {}

func writeReadError(ctx *fasthttp.RequestCtx, err error) {
	status := http.StatusBadRequest
	switch {
	case strings.Contains(err.Error(), "body size exceeds"):
		status = http.StatusRequestEntityTooLarge
	case strings.Contains(err.Error(), "small read buffer"):
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Error(err.Error()+"\n", status)
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	framingErr := checkFraming(&c.Request.Header)
	if s.draining.Load() || framingErr != nil {
		c.SetConnectionClose()
	}
	r, err := s.readRequest(c)
	err = errors.Join(framingErr, err)
	e := &exchange{server: s, request: r}
	if err != nil {
		e.trail = s.deps.Recorder.Start(r.ID())
		s.writeFailure(c, err)
		e.trail.Event(events.ForwardRefused).Err(err).Emit()
		e.trail.Close(true)
		return
	}
	e.begin(c)
	response, err := s.deps.Handler.Forward(e.ctx, r)
	if err != nil {
		e.end(err)
		s.writeFailure(c, err)
		return
	}
	s.deps.Forwards.FirstByte(r.Route().Kind(), s.deps.Clock.Since(r.Received()))
	s.writeResponse(c, e, response)
}

// readRequest returns a request with the parts that are forwarded unchanged, and a
// Failure if it is malformed.
func (s *Server) readRequest(c *fasthttp.RequestCtx) (*hawthornrail.ForwardRequest, error) {
	host, uri, err := target(&c.Request.Header)
	path, _, _ := strings.Cut(uri, "?")
	body := append([]byte{}, c.PostBody()...)
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
	f := hawthornrail.AsFailure(err)
	status, headers := s.deps.Codec.Failure(f)
	c.SetStatusCode(status)
	for _, h := range headers {
		c.Response.Header.Add(h.Name(), h.Value())
	}
	c.SetContentType("text/plain")
	c.SetBodyString(string(f.Code()) + "\n")
}

func (s *Server) writeResponse(c *fasthttp.RequestCtx, e *exchange, response *hawthornrail.ForwardResponse) {
	c.SetStatusCode(response.Status())
	for _, h := range response.Headers() {
		c.Response.Header.Add(h.Name(), h.Value())
	}
	if response.Stream() == nil {
		c.SetBody(response.Body())
		e.end(nil)
		return
	}
	c.SetBodyStream(&responseBody{exchange: e, response: response}, -1)
}
