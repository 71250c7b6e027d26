package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
	"hawthornrail.example/hawthornrail/internal/team/keyring"
)

// The header fields that are specific to hawthornrail.
const (
	HeaderProgram    = "X-Program-Id"
	HeaderCall       = "X-Call-Number"
	HeaderHistory    = "X-Program-History"
	HeaderEnd        = "X-Program-End"
	HeaderIdempotent = "X-Idempotent"
	HeaderVerdict    = "X-Verdict"
)

const (
	headerIdempotencyKey   = "Idempotency-Key"
	historyKeep            = "keep"
	retryAfterHeader       = "Retry-After"
	retryAfterMillisHeader = "X-Retry-After-Ms"
)

// Options are the limits of the server.
type Options struct {
	MaxBodyBytes   int
	ReadTimeout    time.Duration
	RequestTimeout time.Duration
	// Ready reports whether new programs can be started; nil means always.
	Ready func() bool
}

// Server is the HTTP server for callers.
type Server struct {
	http      *fasthttp.Server
	handler   hawthornrail.Handler
	programs  hawthornrail.Programs
	config    hawthornrail.Configuration
	keys      *keyring.Tracker
	tracer    *traces.Tracer
	log       events.Logger
	options   Options
	inFlight  atomic.Int64
	completed atomic.Uint64
	draining  atomic.Bool
}

// New returns a server that passes requests to handler.
func New(handler hawthornrail.Handler, programs hawthornrail.Programs, config hawthornrail.Configuration, keys *keyring.Tracker, tracer *traces.Tracer, log events.Logger, options Options) *Server {
	s := &Server{handler: handler, programs: programs, config: config, keys: keys, tracer: tracer, log: log, options: options}
	s.http = &fasthttp.Server{
		Handler: s.routes(), Name: "hawthornrail",
		MaxRequestBodySize: options.MaxBodyBytes, ReadTimeout: options.ReadTimeout,
		WriteTimeout:          options.RequestTimeout,
		NoDefaultServerHeader: true, CloseOnShutdown: true,
		ErrorHandler: s.connectionError,
		// A parsed form is written anew, which changes the body.
		DisablePreParseMultipartForm: true,
	}
	return s
}

// Serve serves callers on a listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// StartDraining starts draining: requests are still served, but responses close
// their connections and the health check fails, so that callers and the load
// balancer use other VMs.
func (s *Server) StartDraining() { s.draining.Store(true) }

// Shutdown stops accepting connections and waits until the requests in flight
// have ended.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down caller server: %w", err)
	}
	return nil
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Completed returns the number of requests completed since the process started.
func (s *Server) Completed() int { return int(s.completed.Load()) }

func (s *Server) routes() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/chat/completions", s.complete)
	r.POST("/v1/programs", s.createProgram)
	r.DELETE("/v1/programs/{id}", s.endProgram)
	r.ANY("/v1/services/{service}/{path:*}", s.callService)
	r.GET("/health", s.health)
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		writeFailure(ctx, hawthornrail.NotRun(hawthornrail.CodeBadRequest, "no such path"))
	}
	return func(ctx *fasthttp.RequestCtx) {
		r.Handler(ctx)
		if s.draining.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// Ready reports whether the load balancer may send requests to this VM.
func (s *Server) Ready() bool {
	return !s.draining.Load() && (s.options.Ready == nil || s.options.Ready())
}

// health serves the health check of the load balancer.
func (s *Server) health(ctx *fasthttp.RequestCtx) {
	if !s.Ready() {
		ctx.Error("not ready\n", http.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok\n")
}

func (s *Server) connectionError(ctx *fasthttp.RequestCtx, err error) {
	code := hawthornrail.CodeBadRequest
	if strings.Contains(err.Error(), "body size exceeds") {
		code = hawthornrail.CodeBodyTooLarge
	}
	writeFailure(ctx, hawthornrail.NewFailure(code, hawthornrail.VerdictNotRun, err))
}

type completionRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

func (s *Server) complete(ctx *fasthttp.RequestCtx) {
	var body completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil || body.Model == "" {
		writeFailure(ctx, hawthornrail.NotRun(hawthornrail.CodeBadRequest, "body must be a JSON object with a model"))
		return
	}
	r := hawthornrail.NewModelRequest(body.Model, append([]byte{}, ctx.PostBody()...), body.Stream)
	s.serve(ctx, r)
}

func (s *Server) callService(ctx *fasthttp.RequestCtx) {
	name, _ := ctx.UserValue("service").(string)
	path, _ := ctx.UserValue("path").(string)
	r := hawthornrail.NewServiceRequest(name, string(ctx.Method()), "/"+path+queryWithoutKeys(string(ctx.RequestURI())),
		string(ctx.Request.Header.ContentType()), append([]byte{}, ctx.PostBody()...))
	idempotent := ctx.IsGet() || ctx.IsHead() || string(ctx.Request.Header.Peek(HeaderIdempotent)) == "true"
	r.SetIdempotency(string(ctx.Request.Header.Peek(headerIdempotencyKey)), idempotent)
	s.serve(ctx, r)
}

func (s *Server) serve(ctx *fasthttp.RequestCtx, r *hawthornrail.Request) {
	if err := s.fillProgram(ctx, r); err != nil {
		writeFailure(ctx, err)
		return
	}
	r.SetCredential(credential(ctx))
	requestCtx, cancel := context.WithTimeout(traces.WithTraceparent(context.Background(), string(ctx.Request.Header.Peek("traceparent"))), s.options.RequestTimeout)
	if !r.Stream() {
		defer cancel()
		s.serveBuffered(requestCtx, ctx, r)
		return
	}
	s.serveStream(requestCtx, cancel, ctx, r)
}

func (s *Server) fillProgram(ctx *fasthttp.RequestCtx, r *hawthornrail.Request) error {
	for _, name := range []string{HeaderProgram, HeaderCall, HeaderHistory, HeaderEnd, headerIdempotencyKey, "Authorization"} {
		if len(ctx.Request.Header.PeekAll(name)) > 1 {
			return hawthornrail.NotRun(hawthornrail.CodeBadRequest, "header %s stands twice", name)
		}
	}
	program := string(ctx.Request.Header.Peek(HeaderProgram))
	if program == "" {
		return nil
	}
	number, err := strconv.ParseUint(string(ctx.Request.Header.Peek(HeaderCall)), 10, 64)
	if err != nil || number == 0 {
		return hawthornrail.NotRun(hawthornrail.CodeBadRequest, "header %s must be a number from 1", HeaderCall)
	}
	r.SetProgram(program, number)
	r.SetKeepHistory(string(ctx.Request.Header.Peek(HeaderHistory)) == historyKeep)
	r.SetEndsProgram(string(ctx.Request.Header.Peek(HeaderEnd)) == "true")
	return nil
}

func credential(ctx *fasthttp.RequestCtx) string {
	value := string(ctx.Request.Header.Peek("Authorization"))
	return strings.TrimPrefix(value, "Bearer ")
}

func (s *Server) run(ctx context.Context, r *hawthornrail.Request, w hawthornrail.ResponseWriter) error {
	s.inFlight.Add(1)
	defer s.completed.Add(1)
	defer s.inFlight.Add(-1)
	ctx, span := s.tracer.Start(ctx, "entry")
	err := s.handler.Serve(ctx, r, w)
	if err == nil {
		traces.Finish(span, nil)
		return nil
	}
	f := hawthornrail.AsFailure(err)
	traces.Finish(span, errors.New(redactKeys(f.Error())))
	event := events.RequestFailed
	if f.Verdict() == hawthornrail.VerdictNotRun {
		event = events.RequestRefused
	}
	s.log.Event(event).Str("code", string(f.Code())).Str("verdict", f.Verdict().String()).Str("team", r.Team()).Str("error", redactKeys(f.Error())).Emit()
	return f
}

func (s *Server) serveBuffered(ctx context.Context, c *fasthttp.RequestCtx, r *hawthornrail.Request) {
	w := &bufferedWriter{}
	if err := s.run(ctx, r, w); err != nil {
		writeFailure(c, err)
		return
	}
	c.SetStatusCode(w.status)
	c.SetContentType(w.contentType)
	c.Response.Header.Set(HeaderVerdict, hawthornrail.VerdictRan.String())
	c.SetBody(w.body.Bytes())
}

type createProgramBody struct {
	Parent string `json:"parent"`
	Budget *struct {
		Calls      uint64 `json:"calls"`
		Tokens     uint64 `json:"tokens"`
		WallTimeMS int64  `json:"wall_time_ms"`
		Depth      uint32 `json:"depth"`
		Children   uint32 `json:"children"`
	} `json:"budget"`
}

// identify checks the caller's key in the same way as the filters for calls.
func (s *Server) identify(ctx *fasthttp.RequestCtx) (hawthornrail.Deployment, string, error) {
	d, key, err := keyring.Check(s.config.Snapshot(), credential(ctx))
	if err == nil {
		err = keyring.CheckStaleness(s.config, d)
	}
	return d, key, err
}

// contextForKey returns a context that is cancelled at the timeout or when the
// key is revoked.
func (s *Server) contextForKey(key, team string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), s.options.RequestTimeout)
	keyCtx, release := s.keys.Track(ctx, key, team)
	return keyCtx, func() {
		release()
		cancel()
	}
}

// withRevocation returns the failure of a revoked key if the caller's key was
// revoked meanwhile, even if err is nil; otherwise it returns err.
func withRevocation(ctx context.Context, key string, err error) error {
	if keyring.Revoked(ctx) {
		return keyring.RevokedFailure(key, hawthornrail.VerdictOf(err))
	}
	return err
}

func (s *Server) createProgram(ctx *fasthttp.RequestCtx) {
	d, key, err := s.identify(ctx)
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	var body createProgramBody
	if len(ctx.PostBody()) > 0 {
		if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
			writeFailure(ctx, hawthornrail.NotRun(hawthornrail.CodeBadRequest, "body: %w", err))
			return
		}
	}
	var budget *hawthornrail.Budget
	if b := body.Budget; b != nil {
		value := hawthornrail.NewBudget(b.Calls, b.Tokens, time.Duration(b.WallTimeMS)*time.Millisecond, b.Depth, b.Children)
		budget = &value
	}
	requestCtx, cancel := s.contextForKey(key, d.Team())
	defer cancel()
	id, err := s.programs.Create(requestCtx, d, body.Parent, budget)
	if err := withRevocation(requestCtx, key, err); err != nil {
		writeFailure(ctx, err)
		return
	}
	writeJSON(ctx, http.StatusCreated, map[string]string{"program_id": id})
}

func (s *Server) endProgram(ctx *fasthttp.RequestCtx) {
	d, key, err := s.identify(ctx)
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	id, _ := ctx.UserValue("id").(string)
	requestCtx, cancel := s.contextForKey(key, d.Team())
	defer cancel()
	err = s.programs.End(requestCtx, d.Team(), id, "ended by the caller")
	if err := withRevocation(requestCtx, key, err); err != nil {
		writeFailure(ctx, err)
		return
	}
	writeJSON(ctx, http.StatusOK, map[string]string{"program_id": id})
}
