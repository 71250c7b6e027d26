//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a worker has begun to run.
type run struct {
	at        time.Time
	id        string
	team      string
	path      string
	body      string
	lastEvent string
}

// worker is a sound worker of a service; its streams have events of one kind.
type worker struct {
	bed      *bed
	id       string
	listener net.Listener
	events   int
	pause    time.Duration
	// limit is the rate limit that it names, if any.
	limit string
	// version is that of its software.
	version string

	mu   sync.Mutex
	runs []run
	// hanging is the share of the requests that get no answer.
	hanging float64
}

// addWorker starts a worker and lists it in the store.
func (b *bed) addWorker(service, zone string, events int, pause time.Duration) *worker {
	return b.addVersion("v1", service, zone, events, pause)
}

// addVersion is addWorker for a worker of a version.
func (b *bed) addVersion(version, service, zone string, events int, pause time.Duration) *worker {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	w := &worker{bed: b, id: fmt.Sprintf("i-%s-%d", service, len(b.workers)), listener: l, events: events, pause: pause, version: version}
	b.workers = append(b.workers, w)
	server := &http.Server{Handler: http.HandlerFunc(w.handle), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	b.store.Put("servers", w.id, map[string]any{
		"service": service, "address": l.Addr().String(), "zone": zone, "version": version, "slots": 16, "state": "ready", "cold_left_ms": 0, "seq": 1,
	})
	return w
}

// setHanging sets the share of the requests that the worker runs and does not answer.
func (w *worker) setHanging(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hanging == share {
		return
	}
	w.hanging = share
	w.bed.record("worker %s leaves %.2f of its requests without an answer", w.id, share)
}

// list returns the requests that the worker has begun to run.
func (w *worker) list() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run{}, w.runs...)
}

func (w *worker) handle(out http.ResponseWriter, r *http.Request) {
	if r.Header.Get(names["expected"]) != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(names["request_id"])
	x := run{at: time.Now(), id: id, team: r.Header.Get(names["team"]), path: r.URL.RequestURI(), body: string(body), lastEvent: r.Header.Get(names["last_event"])}
	w.mu.Lock()
	w.runs = append(w.runs, x)
	hangs := rand.Float64() < w.hanging
	w.mu.Unlock()
	w.bed.record("worker %s runs %s %s for %q, deadline %s ms, %d bytes", w.id, id, x.path, x.team, r.Header.Get(names["deadline"]), len(body))
	if hangs {
		<-r.Context().Done()
		return
	}
	out.Header().Set(names["request_id"], id)
	out.Header().Set(names["seal"], w.id)
	out.Header().Set(names["load"], "1,0,16")
	if w.limit != "" {
		out.Header().Set(names["rate_limit"], w.limit)
	}
	if r.Header.Get(names["tokens"]) == "" {
		time.Sleep(w.pause)
		_, _ = fmt.Fprintf(out, "answer to %s", id)
		return
	}
	out.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(x.lastEvent)
	for n := last + 1; n <= w.events; n++ {
		_, _ = fmt.Fprintf(out, "id: %d\ndata: event %d\n\n", n, n)
		_ = http.NewResponseController(out).Flush()
		time.Sleep(w.pause)
	}
}
