package service

import (
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// callerKeyPrefix starts every key of a caller.
const callerKeyPrefix = "hr_"

// Server executes requests and counts each one by its request id.
type Server struct {
	delay time.Duration

	mu     sync.Mutex
	counts map[string]int
	begun  int
	keys   int
}

// NewServer returns a server whose requests take delay each.
func NewServer(delay time.Duration) *Server {
	return &Server{delay: delay, counts: make(map[string]int)}
}

// Handler returns the service's routes.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/control/counts", s.report)
	r.GET("/health", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
	r.ANY("/{path:*}", s.execute)
	return r.Handler
}

func (s *Server) execute(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	s.mu.Lock()
	s.begun++
	s.mu.Unlock()
	time.Sleep(s.delay)
	s.mu.Lock()
	s.counts[id]++
	n := s.counts[id]
	if strings.Contains(ctx.Request.String(), callerKeyPrefix) {
		s.keys++
	}
	s.mu.Unlock()
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(map[string]any{"request_id": id, "execution": n, "path": string(ctx.Path()), "query": string(ctx.URI().QueryString())}); err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
	}
}

func (s *Server) report(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(map[string]any{"executions": s.counts, "caller_keys_seen": s.keys}); err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
	}
}

// KeysSeen returns how many requests carried a caller's key.
func (s *Server) KeysSeen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys
}

// Executions returns how often each request id ran.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// Begun returns how many requests arrived.
func (s *Server) Begun() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}
