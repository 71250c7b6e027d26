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

// Faults switches the service's failures.
type Faults struct {
	Outage        bool  `json:"outage"`
	SlowMillis    int64 `json:"slow_millis"`
	LoseResponses bool  `json:"lose_answers"`
}

// Counts is how many calls of each sort the service has taken; lists are
// reads too.
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

// NewServer returns a server of store with no fault switched on.
func NewServer(store *Store) *Server {
	s := &Server{store: store}
	s.faults.Store(&Faults{})
	return s
}

// Handler returns the service's routes.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/v1/objects", s.guard(&s.lists, s.list))
	r.GET("/v1/objects/{kind}", s.guard(&s.lists, s.list))
	r.GET("/v1/objects/{kind}/{name}", s.guard(&s.reads, s.get))
	r.PUT("/v1/objects/{kind}/{name}", s.guard(&s.writes, s.put))
	r.DELETE("/v1/objects/{kind}/{name}", s.guard(&s.writes, s.remove))
	r.GET("/v1/watch", s.guard(&s.watches, s.watch))
	r.PUT("/control/faults", s.setFaults)
	r.GET("/control/counts", s.reportCounts)
	return r.Handler
}

func (s *Server) guard(count *atomic.Uint64, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		count.Add(1)
		f := s.faults.Load()
		if f.Outage {
			fail(ctx, http.StatusServiceUnavailable, "outage")
			return
		}
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
		next(ctx)
		if f.LoseResponses && count == &s.writes {
			ctx.Response.Reset()
			fail(ctx, http.StatusGatewayTimeout, "answer lost")
		}
	}
}

func (s *Server) list(ctx *fasthttp.RequestCtx) {
	kind, _ := ctx.UserValue("kind").(string)
	objects, revision := s.store.List(kind)
	reply(ctx, map[string]any{"objects": objects, "revision": revision})
}

func (s *Server) get(ctx *fasthttp.RequestCtx) {
	kind, name := path(ctx)
	o, err := s.store.Get(kind, name)
	s.answer(ctx, o, err)
}

func (s *Server) put(ctx *fasthttp.RequestCtx) {
	kind, name := path(ctx)
	body := ctx.PostBody()
	if len(body) > maxValueBytes || !json.Valid(body) {
		fail(ctx, http.StatusBadRequest, "want a JSON value of at most a megabyte")
		return
	}
	o, err := s.store.Put(kind, name, version(ctx), append([]byte{}, body...))
	s.answer(ctx, o, err)
}

func (s *Server) remove(ctx *fasthttp.RequestCtx) {
	kind, name := path(ctx)
	o, err := s.store.Delete(kind, name, version(ctx))
	s.answer(ctx, o, err)
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
			fail(ctx, http.StatusGone, err.Error())
			return
		}
		if len(events) > 0 {
			reply(ctx, map[string]any{"objects": events, "revision": events[len(events)-1].Version})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(ctx, map[string]any{"objects": []Object{}, "revision": since})
			return
		}
	}
}

// SetFaults switches the service's failures.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// Counts returns how many calls the service has taken.
func (s *Server) Counts() Counts {
	return Counts{Reads: s.reads.Load() + s.lists.Load(), Lists: s.lists.Load(), Writes: s.writes.Load(), Watches: s.watches.Load()}
}

func (s *Server) setFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		fail(ctx, http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(f)
	reply(ctx, f)
}

func (s *Server) reportCounts(ctx *fasthttp.RequestCtx) {
	reply(ctx, s.Counts())
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, o Object, err error) {
	switch {
	case err == nil:
		reply(ctx, o)
	case errors.Is(err, ErrNotFound):
		fail(ctx, http.StatusNotFound, err.Error())
	case errors.Is(err, ErrConflict):
		fail(ctx, http.StatusConflict, err.Error())
	default:
		fail(ctx, http.StatusInternalServerError, err.Error())
	}
}

func path(ctx *fasthttp.RequestCtx) (kind, name string) {
	kind, _ = ctx.UserValue("kind").(string)
	name, _ = ctx.UserValue("name").(string)
	return kind, name
}

func version(ctx *fasthttp.RequestCtx) uint64 {
	v, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("if_version")), 10, 64)
	if err != nil {
		return 0
	}
	return v
}

func reply(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		fail(ctx, http.StatusInternalServerError, err.Error())
	}
}

func fail(ctx *fasthttp.RequestCtx, status int, message string) {
	ctx.Error(message, status)
}
