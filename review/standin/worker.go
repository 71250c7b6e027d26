//go:build review

package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// tokensPerEvent is chunk_tokens of the configuration.
const tokensPerEvent = 6

// maxShownBytes is the length up to which the record shows the bodies of requests.
const maxShownBytes = 2 << 10

// run is a request that a worker has begun to run.
type run struct {
	id        string
	lastEvent string
	bodyHash  [sha256.Size]byte
	at        time.Time
}

// worker is a stand-in of a back end. Requests with a token count get a stream, all
// others a short answer.
type worker struct {
	name     string
	names    names
	record   *record
	listener net.Listener
	// born is when the worker started, in Unix milliseconds.
	born int64
	// eventPause is the time between two events, and workTime that until the
	// answer to another request.
	eventPause time.Duration
	workTime   time.Duration
	// unframed streams have neither a length nor chunks.
	unframed bool

	mu      sync.Mutex
	conns   map[net.Conn]bool
	runs    []run
	leaving bool
	// crashPath is the path of the requests that crash the worker, and onCrash is
	// called then.
	crashPath string
	onCrash   func()
}

func startWorker(name string, n names, r *record, eventPause, workTime time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{name: name, names: n, record: r, listener: l, born: time.Now().UnixMilli(), eventPause: eventPause, workTime: workTime, conns: make(map[net.Conn]bool)}
	go w.accept()
	return w, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.respond(c, r, body) {
			return
		}
	}
}

// fields returns the header fields that all answers carry.
func (w *worker) fields(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	fields := w.names.RequestID + ": " + id + "\r\n"
	if w.leaving {
		fields += w.names.Leaving + ": 1\r\n"
	}
	return fields
}

// respond answers a request and reports whether its channel stays open.
func (w *worker) respond(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get(w.names.RequestID)
	if r.Header.Get(w.names.ExpectedInstance) != w.name {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s%s: %s\r\nContent-Length: 0\r\n\r\n", w.fields(id), w.names.Instance, w.name)
		return err == nil
	}
	lastEvent := r.Header.Get(w.names.LastEvent)
	w.mu.Lock()
	w.runs = append(w.runs, run{id: id, lastEvent: lastEvent, bodyHash: sha256.Sum256(body), at: time.Now()})
	w.mu.Unlock()
	w.record.add("run at %s: request %s, after event %q", w.name, id, lastEvent)
	if len(body) > 0 && len(body) <= maxShownBytes {
		w.record.add("body of %s: %q", id, body)
	}
	if w.crashFor(r.URL.Path) {
		return false
	}
	if tokens := r.Header.Get(w.names.Tokens); tokens != "" {
		return w.stream(c, id, lastEvent, tokens)
	}
	time.Sleep(w.workTime)
	text := "answer to " + id
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s", w.fields(id), w.names.Seal, id, len(text), text)
	return err == nil
}

func (w *worker) stream(c net.Conn, id, lastEvent, tokens string) bool {
	_, output, _ := strings.Cut(tokens, ",")
	most, err := strconv.Atoi(output)
	if err != nil {
		return false
	}
	first := 0
	if lastEvent != "" {
		if first, err = strconv.Atoi(lastEvent); err != nil {
			return false
		}
	}
	framing := "Transfer-Encoding: chunked\r\n"
	if w.unframed {
		framing = "Connection: close\r\n"
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s: seal-%s\r\nContent-Type: text/event-stream\r\n%s\r\n", w.fields(id), w.names.Seal, id, framing); err != nil {
		return false
	}
	for n := first + 1; n <= most/tokensPerEvent; n++ {
		time.Sleep(w.eventPause)
		event := fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", n, n, id)
		if !w.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, event); err != nil {
			return false
		}
	}
	if w.unframed {
		return false
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// allRuns returns the requests that the worker has begun to run.
func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run{}, w.runs...)
}

// crashOn makes the worker crash as it begins to run a request for a path.
func (w *worker) crashOn(path string, onCrash func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashPath, w.onCrash = path, onCrash
}

// crashFor ends the worker if a path is the one that crashes it, and reports whether it
// is.
func (w *worker) crashFor(path string) bool {
	w.mu.Lock()
	crash, onCrash := w.crashPath != "" && w.crashPath == path, w.onCrash
	w.mu.Unlock()
	if crash {
		w.exit()
		onCrash()
	}
	return crash
}

// breakOff ends the answers that the worker is sending, which goes on to serve.
func (w *worker) breakOff() {
	w.record.add("%s breaks off its answers", w.name)
	w.closeConns()
}

// exit ends the worker as the end of its process does: nothing listens at its address
// any more, and its channels are closed.
func (w *worker) exit() {
	w.record.add("%s exits", w.name)
	_ = w.listener.Close()
	w.closeConns()
}

func (w *worker) closeConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

// leave marks all further answers as those of a worker that leaves.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// entry returns the worker's entry in the store.
func (w *worker) entry(service, zone, state string) map[string]any {
	return map[string]any{
		"service": service, "address": w.address(), "zone": zone, "version": "v1", "slots": 16, "state": state,
		"cold_left_ms": 0, "seq": 1, "born": w.born,
	}
}
