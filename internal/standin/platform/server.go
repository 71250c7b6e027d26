package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

const (
	maxValueBytes = 1 << 20
	watchTimeout  = 5 * time.Second
)

// Faults are the failures that the service injects.
type Faults struct {
	Outage        bool  `json:"outage"`
	SlowMillis    int64 `json:"slow_millis"`
	LoseResponses bool  `json:"lose_answers"`
}

// Counts holds the number of requests by kind. Reads include lists.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Lists   uint64 `json:"lists"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Server serves a Store over HTTP.
type Server struct {
	store   *Store
	faults  atomic.Pointer[Faults]
	reads   atomic.Uint64
	lists   atomic.Uint64
	writes  atomic.Uint64
	watches atomic.Uint64
}

// NewServer returns a server for store that injects no faults.
func NewServer(store *Store) *Server {
	s := &Server{store: store}
	s.faults.Store(&Faults{})
	return s
}

// Handler returns the service's routes.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/v1/objects", s.withFaults(&s.lists, s.list))
	r.GET("/v1/objects/{kind}", s.withFaults(&s.lists, s.list))
	r.GET("/v1/objects/{kind}/{name}", s.withFaults(&s.reads, s.get))
	r.PUT("/v1/objects/{kind}/{name}", s.withFaults(&s.writes, s.put))
	r.DELETE("/v1/objects/{kind}/{name}", s.withFaults(&s.writes, s.remove))
	r.GET("/v1/watch", s.withFaults(&s.watches, s.watch))
	r.PUT("/control/faults", s.setFaults)
	r.GET("/control/counts", s.getCounts)
	return r.Handler
}

func (s *Server) withFaults(count *atomic.Uint64, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		count.Add(1)
		f := s.faults.Load()
		if f.Outage {
			writeError(ctx, http.StatusServiceUnavailable, "outage")
			return
		}
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
		next(ctx)
		if f.LoseResponses && count == &s.writes {
			ctx.Response.Reset()
			writeError(ctx, http.StatusGatewayTimeout, "answer lost")
		}
	}
}

func (s *Server) list(ctx *fasthttp.RequestCtx) {
	kind, _ := ctx.UserValue("kind").(string)
	objects, revision := s.store.List(kind)
	writeJSON(ctx, map[string]any{"objects": objects, "revision": revision})
}

func (s *Server) get(ctx *fasthttp.RequestCtx) {
	kind, name := objectKey(ctx)
	o, err := s.store.Get(kind, name)
	s.writeResult(ctx, o, err)
}

func (s *Server) put(ctx *fasthttp.RequestCtx) {
	kind, name := objectKey(ctx)
	body := ctx.PostBody()
	if len(body) > maxValueBytes || !json.Valid(body) {
		writeError(ctx, http.StatusBadRequest, "want a JSON value of at most a megabyte")
		return
	}
	o, err := s.store.Put(kind, name, expectedVersion(ctx), append([]byte{}, body...))
	s.writeResult(ctx, o, err)
}

func (s *Server) remove(ctx *fasthttp.RequestCtx) {
	kind, name := objectKey(ctx)
	o, err := s.store.Delete(kind, name, expectedVersion(ctx))
	s.writeResult(ctx, o, err)
}

func (s *Server) watch(ctx *fasthttp.RequestCtx) {
	since := uint64(ctx.QueryArgs().GetUintOrZero("since"))
	wait := watchTimeout
	if ms := ctx.QueryArgs().GetUintOrZero("wait_ms"); ms > 0 {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	deadline := time.After(wait)
	for {
		events, changed, err := s.store.Since(since)
		if err != nil {
			writeError(ctx, http.StatusGone, err.Error())
			return
		}
		if len(events) > 0 {
			writeJSON(ctx, map[string]any{"objects": events, "revision": events[len(events)-1].Version})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(ctx, map[string]any{"objects": []Object{}, "revision": since})
			return
		}
	}
}

// SetFaults sets the failures that the service injects.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// Counts returns the number of requests that the service has received.
func (s *Server) Counts() Counts {
	return Counts{Reads: s.reads.Load() + s.lists.Load(), Lists: s.lists.Load(), Writes: s.writes.Load(), Watches: s.watches.Load()}
}

func (s *Server) setFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		writeError(ctx, http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(f)
	writeJSON(ctx, f)
}

func (s *Server) getCounts(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, s.Counts())
}

func (s *Server) writeResult(ctx *fasthttp.RequestCtx, o Object, err error) {
	switch {
	case err == nil:
		writeJSON(ctx, o)
	case errors.Is(err, ErrNotFound):
		writeError(ctx, http.StatusNotFound, err.Error())
	case errors.Is(err, ErrConflict):
		writeError(ctx, http.StatusConflict, err.Error())
	default:
		writeError(ctx, http.StatusInternalServerError, err.Error())
	}
}

func objectKey(ctx *fasthttp.RequestCtx) (kind, name string) {
	kind, _ = ctx.UserValue("kind").(string)
	name, _ = ctx.UserValue("name").(string)
	return kind, name
}

func expectedVersion(ctx *fasthttp.RequestCtx) uint64 {
	v, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("if_version")), 10, 64)
	if err != nil {
		return 0
	}
	return v
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		writeError(ctx, http.StatusInternalServerError, err.Error())
	}
}

func writeError(ctx *fasthttp.RequestCtx, status int, message string) {
	ctx.Error(message, status)
}
