//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// shortPath is the path of requests whose stream has one event.
const shortPath = "/turns/short"

// run is a request that a worker has begun to run.
type run struct {
	id, path, body, lastEvent string
	at                        time.Time
}

// worker is a stand-in for a worker, as PROTOCOL.md describes it.
type worker struct {
	id, service, zone string
	// version is that of its software.
	version string
	record  *record
	// quiet leaves out what the worker runs in the record.
	quiet    atomic.Bool
	listener net.Listener
	server   *http.Server
	// events is the number of events of a stream, and pause the time before each.
	events int
	pause  time.Duration

	mu   sync.Mutex
	runs []run
}

// startWorker starts a worker and registers it.
func (f *fleet) startWorker(id string, zone, events int, pause time.Duration) *worker {
	w := &worker{id: id, service: "engines", zone: f.zones[zone], version: "v1", record: f.record, listener: listen(), events: events, pause: pause}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go func() { _ = w.server.Serve(w.listener) }()
	f.closers = append(f.closers, func() { _ = w.server.Close() })
	f.report(w)
	return w
}

// report writes the entry of a worker.
func (f *fleet) report(w *worker) {
	f.store.Put("servers", w.id, map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": w.version, "slots": 16, "state": "ready", "cold_left_ms": 0, "seq": 1,
	})
}

// allRuns returns the requests that the worker has begun to run.
func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run{}, w.runs...)
}

// log records what the worker does.
func (w *worker) log(format string, args ...any) {
	if !w.quiet.Load() {
		w.record.printf(format, args...)
	}
}

func (w *worker) handle(response http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["request_id"])
	if r.Header.Get(names["instance"]) != w.id {
		response.Header().Set(names["instance_id"], w.id)
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	this := run{id: id, path: r.URL.Path, body: string(body), lastEvent: r.Header.Get(names["last_event"]), at: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, this)
	w.mu.Unlock()
	w.log("%s runs %s, after event %q, body of %d bytes", w.id, id, this.lastEvent, len(body))
	h := response.Header()
	h.Set(names["request_id"], id)
	h.Set(names["seal"], w.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	h["Date"] = nil
	response.WriteHeader(http.StatusOK)
	flusher, _ := response.(http.Flusher)
	last, _ := strconv.Atoi(this.lastEvent)
	events := w.events
	if this.path == shortPath {
		events = 1
	}
	for n := last + 1; n <= events; n++ {
		select {
		case <-time.After(w.pause):
		case <-r.Context().Done():
			w.log("%s: requester of %s has left", w.id, id)
			return
		}
		_, _ = fmt.Fprintf(response, "id: %d\ndata: event %d of %s\n\n", n, n, id)
		flusher.Flush()
	}
	w.log("%s has answered %s", w.id, id)
}
