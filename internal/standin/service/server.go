package service

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// callerKeyPrefix is the prefix of every caller's key.
const callerKeyPrefix = "hr_"

// Server executes requests and counts the executions of each request id.
type Server struct {
	delay time.Duration

	mu            sync.Mutex
	executions    map[string]int
	arrivalCount  int
	leakedKeys    int
	arrivals      []Arrival
	loseResponses bool
}

// SetLoseResponses sets whether the server executes requests but closes their
// connections without a response.
func (s *Server) SetLoseResponses(loseResponses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseResponses = loseResponses
}

// Arrival is a request that the service received.
type Arrival struct {
	ID     string
	Method string
	// URI and Body are as the service received them.
	URI  string
	Body []byte
	At   time.Time
}

// Arrivals returns the received requests in the order of their arrival.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival{}, s.arrivals...)
}

func (s *Server) recordArrival(id string, ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, Arrival{
		ID: id, Method: string(ctx.Method()), URI: string(ctx.RequestURI()), Body: bytes.Clone(ctx.PostBody()), At: time.Now(),
	})
}

// NewServer returns a server that takes delay to execute a request.
func NewServer(delay time.Duration) *Server {
	return &Server{delay: delay, executions: make(map[string]int)}
}

// Handler returns the service's routes.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/control/counts", s.serveCounts)
	r.GET("/health", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
	r.ANY("/{path:*}", s.execute)
	return r.Handler
}

func (s *Server) execute(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	s.mu.Lock()
	s.arrivalCount++
	s.mu.Unlock()
	s.recordArrival(id, ctx)
	time.Sleep(s.delay)
	s.mu.Lock()
	s.executions[id]++
	execution := s.executions[id]
	if strings.Contains(ctx.Request.String(), callerKeyPrefix) {
		s.leakedKeys++
	}
	loseResponses := s.loseResponses
	s.mu.Unlock()
	if loseResponses {
		_ = ctx.Conn().Close()
		return
	}
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(map[string]any{"request_id": id, "execution": execution, "path": string(ctx.Path()), "query": string(ctx.URI().QueryString())}); err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
	}
}

func (s *Server) serveCounts(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(map[string]any{"executions": s.executions, "caller_keys_seen": s.leakedKeys}); err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
	}
}

// KeysSeen returns the number of requests that contained a caller's key, which
// must not reach a service.
func (s *Server) KeysSeen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leakedKeys
}

// Executions returns the number of executions per request id.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// ArrivalCount returns the number of received requests, executed or not.
func (s *Server) ArrivalCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivalCount
}
