package worker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a failure that a worker injects into a request.
type Fault int

// The faults.
const (
	// None handles the request without a failure.
	None Fault = iota
	// Refuse responds that the request has not run.
	Refuse
	// Lose runs the request and closes the connection without a response.
	Lose
	// CutStream closes the connection in the middle of the second event of a
	// stream.
	CutStream
	// AnswerTwice sends the response twice in a row.
	AnswerTwice
	// Hang runs the request and sends no response.
	Hang
	// RefuseAgain sends a refusal without an id, as a copy of an earlier one, before
	// the response.
	RefuseAgain
	// CutBetweenEvents crashes the worker after the second event of a stream.
	CutBetweenEvents
	// Reset resets the connection after the second event of a stream, or in the
	// middle of another response.
	Reset
	// FailWithText answers with an error; FailAsSuccess has the status of a success,
	// and FailAsEvent sends the error's text as an event without an id.
	FailWithText
	FailAsSuccess
	FailAsEvent
	// Crash starts the response and ends the worker.
	Crash
)

// Run is a request that a worker has started to run.
type Run struct {
	ID     string
	Header http.Header
	Host   string
	Method string
	// URI and Body are as the worker received them.
	URI       string
	Body      []byte
	LastEvent string
	// At is when the request started to run.
	At time.Time
}

// Worker serves requests on a listener.
type Worker struct {
	id       string
	events   int
	pause    time.Duration
	listener net.Listener

	mu           sync.Mutex
	conns        map[net.Conn]bool
	crashPath    string
	onCrash      func()
	faults       []Fault
	headCuts     []headCut
	headPadding  int
	raw          string
	rawOnResume  string
	floodPath    string
	flood        Flood
	runs         []Run
	disconnected []string
	dials        int
	// unframed makes responses end with their connection, without a length or
	// chunks.
	unframed bool
	// withoutIDs leaves out the ids of events.
	withoutIDs bool
	// fields are the header fields in all responses of a worker that is draining
	// or names a rate limit.
	fields string
}

// Start returns a worker with an instance id. Its streams consist of the given
// number of events with a pause after each.
func Start(listener net.Listener, id string, events int, pause time.Duration) *Worker {
	w := &Worker{id: id, events: events, pause: pause, listener: listener, conns: make(map[net.Conn]bool)}
	go w.accept()
	return w
}

// Address returns the IP address and port that the worker listens on.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// CrashOn makes the worker crash when it starts to run a request for a path;
// onCrash is called once it has ended.
func (w *Worker) CrashOn(path string, onCrash func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashPath, w.onCrash = path, onCrash
}

// SetCrashPath changes the path on which the worker crashes.
func (w *Worker) SetCrashPath(path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashPath = path
}

// Crash ends the worker: it closes the listener and all connections.
func (w *Worker) Crash() {
	w.Close()
	w.mu.Lock()
	conns := w.conns
	w.conns = nil
	w.mu.Unlock()
	if conns == nil {
		return
	}
	for c := range conns {
		_ = c.Close()
	}
	if w.onCrash != nil {
		w.onCrash()
	}
}

// Close stops accepting connections.
func (w *Worker) Close() { _ = w.listener.Close() }

// Next appends faults for the next requests, one for each in order of arrival.
func (w *Worker) Next(faults ...Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, faults...)
}

// Leave marks all further responses with the header field of a draining worker.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fields = "Server-Leaving: 1\r\n"
}

// SetUnframed makes all further responses end with their connection.
func (w *Worker) SetUnframed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unframed = true
}

func (w *Worker) isUnframed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unframed
}

// SetWithoutIDs leaves out the ids of all further events.
func (w *Worker) SetWithoutIDs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.withoutIDs = true
}

// ClearFaults drops the faults that are still to come.
func (w *Worker) ClearFaults() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = nil
}

// SetPause sets the pause after each event.
func (w *Worker) SetPause(pause time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pause = pause
}

func (w *Worker) eventPause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pause
}

// event returns an event of a stream.
func (w *Worker) event(n int, id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.withoutIDs {
		return fmt.Sprintf("data: %d of %s\n\n", n, id)
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
}

// Limit names a rate limit in all further responses, or none if it is empty.
func (w *Worker) Limit(perSecond string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fields = ""
	if perSecond != "" {
		w.fields = "Server-Limit: " + perSecond + "\r\n"
	}
}

func (w *Worker) commonHeader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.headPadding > 0 {
		return w.fields + "X-Padding: " + strings.Repeat("p", w.headPadding) + "\r\n"
	}
	return w.fields
}

// Runs returns the requests that the worker has started to run.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run{}, w.runs...)
}

// Left returns the ids of the requests whose client disconnected during a stream.
func (w *Worker) Left() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string{}, w.disconnected...)
}

// Dials returns the number of accepted connections.
func (w *Worker) Dials() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dials
}

func (w *Worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		if !w.register(c) {
			_ = c.Close()
			continue
		}
		go w.serve(c)
	}
}

// register counts a connection and reports whether the worker still runs.
func (w *Worker) register(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dials++
	if w.conns == nil {
		return false
	}
	w.conns[c] = true
	return true
}

func (w *Worker) unregister(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
	_ = c.Close()
}

func (w *Worker) serve(c net.Conn) {
	defer w.unregister(c)
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !w.respond(c, r, body) {
			return
		}
	}
}

func (w *Worker) nextFault(path string) Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashPath != "" && path == w.crashPath {
		return Crash
	}
	if len(w.faults) == 0 {
		return None
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	return f
}

// respond handles a request and reports whether the connection may be reused.
func (w *Worker) respond(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != w.id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.commonHeader(), w.id)
		return true
	}
	if cut, ok := w.nextHeadCut(); ok {
		c = &cutConn{Conn: c, cut: cut}
	}
	fault := w.nextFault(r.URL.Path)
	if fault == Refuse {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sX-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", w.commonHeader(), id)
		return true
	}
	w.mu.Lock()
	w.runs = append(w.runs, Run{
		ID: id, Header: r.Header, Host: r.Host, Method: r.Method, URI: r.RequestURI, Body: body,
		LastEvent: r.Header.Get("Last-Event-Id"), At: time.Now(),
	})
	w.mu.Unlock()
	if response := w.rawFor(r.Header.Get("Last-Event-Id") != ""); response != "" {
		return sendRaw(c, response, id)
	}
	if fault == RefuseAgain {
		_, _ = fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	if flood, ok := w.floodFor(r.URL.Path); ok {
		w.sendFlood(c, id, flood)
		return false
	}
	switch {
	case fault == Lose:
		return false
	case fault == Crash:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		w.Crash()
		return false
	case fault == Hang:
		var b [1]byte
		_, _ = c.Read(b[:])
		return false
	case fault == FailWithText || fault == FailAsSuccess || fault == FailAsEvent:
		return w.failResume(c, id, fault)
	case r.Method == http.MethodPost && r.Header.Get("X-Token-Count") != "":
		return w.stream(c, r, fault)
	}
	return w.respondWhole(c, id, fault)
}

func (w *Worker) respondWhole(c net.Conn, id string, fault Fault) bool {
	body := "answer to " + id
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if w.isUnframed() {
		length = ""
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nX-Server-Load: 1,0,16\r\n%s\r\n%s", w.commonHeader(), id, w.id, length, body)
	if fault == Reset {
		_, _ = c.Write([]byte(response[:len(response)-3]))
		reset(c)
		return false
	}
	_, _ = c.Write([]byte(response))
	if fault == AnswerTwice {
		_, _ = c.Write([]byte(response))
	}
	return !w.isUnframed()
}

// reset closes a connection without the regular end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without lingering, unsent bytes are dropped and the other end gets a reset.
		_ = tcp.SetLinger(0)
	}
	time.Sleep(resetDelay)
	_ = c.Close()
}

// resetDelay lets the bytes before a reset arrive.
const resetDelay = 20 * time.Millisecond

const errorText = "<html>upstream failed</html>\n\n"

// failResume answers with an error where a stream should go on.
func (w *Worker) failResume(c net.Conn, id string, fault Fault) bool {
	status, contentType, body := "500 Internal Server Error", "text/html", errorText
	if fault != FailWithText {
		status = "200 OK"
	}
	if fault == FailAsEvent {
		contentType, body = "text/event-stream", "data: "+errorText
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, contentType, len(body), body)
	return true
}

func (w *Worker) stream(c net.Conn, r *http.Request, fault Fault) bool {
	id := r.Header.Get("X-Attempt-Id")
	lastEvent, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		lastEvent = 0
	}
	framing, frame, end := "Transfer-Encoding: chunked\r\n", chunk, "0\r\n\r\n"
	if w.isUnframed() {
		framing, frame, end = "", func(s string) string { return s }, ""
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nContent-Type: text/event-stream\r\n%s\r\n", w.commonHeader(), id, w.id, framing)
	for n := lastEvent + 1; n <= w.events; n++ {
		event := w.event(n, id)
		switch {
		case fault == CutStream && n == lastEvent+2:
			_, _ = fmt.Fprint(c, frame(event)[:len(frame(event))-len(event)/2])
			return false
		case fault == Reset && n == lastEvent+3:
			reset(c)
			return false
		case fault == CutBetweenEvents && n == lastEvent+3:
			w.Crash()
			return false
		}
		if _, err := fmt.Fprint(c, frame(event)); err != nil {
			w.mu.Lock()
			w.disconnected = append(w.disconnected, id)
			w.mu.Unlock()
			return false
		}
		time.Sleep(w.eventPause())
	}
	_, _ = fmt.Fprint(c, end)
	return end != ""
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
