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
	// maxIdle is how long a kept connection may stay without a request; it is
	// above what callers count on.
	maxIdle = 2 * time.Minute
	// readTimeout bounds how long a request may take to arrive.
	readTimeout = 15 * time.Second
	// writeTimeout bounds how long a caller may leave an answer unread.
	writeTimeout = 30 * time.Second
)

// errCallerGone is the cause of a context whose caller closed its connection.
var errCallerGone = errors.New("caller has left")

// Parts are what a Server works with.
type Parts struct {
	Handler  hawthornrail.ForwardHandler
	Dialect  hawthornrail.CallerDialect
	Clock    hawthornrail.Clock
	Recorder *trail.Recorder
	Forwards *metrics.Forwards
	// MaxHeaderBytes and MaxBodyBytes bound a request.
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// Server answers callers whose requests are forwarded.
type Server struct {
	parts   Parts
	http    *fasthttp.Server
	active  atomic.Int64
	leaving atomic.Bool
}

// New returns a server over its parts.
func New(parts Parts) *Server {
	s := &Server{parts: parts}
	s.http = &fasthttp.Server{
		Handler: s.handle, ReadBufferSize: parts.MaxHeaderBytes, MaxRequestBodySize: parts.MaxBodyBytes,
		IdleTimeout: maxIdle, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		NoDefaultServerHeader: true, NoDefaultContentType: true, NoDefaultDate: true,
		CloseOnShutdown: true, ReduceMemoryUsage: true, ErrorHandler: badRequest, Logger: silent{},
	}
	return s
}

// Serve answers callers on a listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(listener{l}); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Leave asks callers to use other VMs: every answer closes its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// UnderWay returns the number of requests that are not answered yet.
func (s *Server) UnderWay() int { return int(s.active.Load()) }

// Shutdown stops accepting and waits until the requests under way have ended.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down caller server: %w", err)
	}
	return nil
}

// silent drops the library's own log: how each request ended stands in its
// trail.
type silent struct{}

// Printf drops a line.
func (silent) Printf(string, ...any) {}

func badRequest(ctx *fasthttp.RequestCtx, err error) {
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
	if s.leaving.Load() {
		c.SetConnectionClose()
	}
	r := s.read(c)
	e := &exchange{server: s, request: r}
	if err := s.parts.Dialect.Read(&c.Request.Header, r); err != nil {
		e.trail = s.parts.Recorder.Start(r.ID())
		s.fail(c, err)
		e.trail.Note(events.ForwardRefused).Err(err).Emit()
		e.trail.Close(true)
		return
	}
	e.begin(c)
	answer, err := s.parts.Handler.Forward(e.ctx, r)
	if err != nil {
		e.end(err)
		s.fail(c, err)
		return
	}
	s.parts.Forwards.First(r.Route().Kind(), s.parts.Clock.Since(r.Received()))
	s.answer(c, e, answer)
}

// read takes the parts of a request that are passed on unchanged.
func (s *Server) read(c *fasthttp.RequestCtx) *hawthornrail.ForwardRequest {
	uri := string(c.RequestURI())
	if !strings.HasPrefix(uri, "/") {
		// A request in absolute form.
		uri = string(c.URI().RequestURI())
	}
	path, _, _ := strings.Cut(uri, "?")
	body := append([]byte{}, c.PostBody()...)
	r := hawthornrail.NewForwardRequest(string(c.Method()), string(c.Host()), uri, path, body, s.parts.Clock.Now())
	var headers []hawthornrail.Header
	named := connectionHeaders(c)
	for key, value := range c.Request.Header.All() {
		name := string(key)
		if forward.IsHopByHop(name) || name == fasthttp.HeaderHost || named[strings.ToLower(name)] || !s.parts.Dialect.Passed(name) {
			continue
		}
		headers = append(headers, hawthornrail.NewHeader(name, string(value)))
	}
	r.SetHeaders(headers)
	return r
}

// connectionHeaders returns the fields that the Connection field names.
func connectionHeaders(c *fasthttp.RequestCtx) map[string]bool {
	value := c.Request.Header.Peek(fasthttp.HeaderConnection)
	if len(value) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for part := range bytes.SplitSeq(value, []byte{','}) {
		named[strings.ToLower(string(bytes.TrimSpace(part)))] = true
	}
	return named
}

func (s *Server) fail(c *fasthttp.RequestCtx, err error) {
	f := hawthornrail.AsFailure(err)
	status, headers := s.parts.Dialect.Failure(f)
	c.SetStatusCode(status)
	for _, h := range headers {
		c.Response.Header.Add(h.Name(), h.Value())
	}
	c.SetContentType("text/plain")
	c.SetBodyString(string(f.Code()) + "\n")
}

func (s *Server) answer(c *fasthttp.RequestCtx, e *exchange, a *hawthornrail.ForwardAnswer) {
	c.SetStatusCode(a.Status())
	for _, h := range a.Headers() {
		c.Response.Header.Add(h.Name(), h.Value())
	}
	if a.Stream() == nil {
		c.SetBody(a.Body())
		e.end(nil)
		return
	}
	c.SetBodyStream(&body{exchange: e, answer: a}, -1)
}
