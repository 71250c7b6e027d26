package worker

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is how a worker treats a request.
type Fault int

// The faults.
const (
	// None answers the request.
	None Fault = iota
	// Refuse says that the request has not run.
	Refuse
	// Lose runs the request and closes the connection.
	Lose
	// CutStream closes the connection within the second event of a stream.
	CutStream
	// AnswerTwice sends a second answer right behind the first.
	AnswerTwice
	// Hang runs the request and never answers.
	Hang
)

// Run is a request that a worker has begun to work on.
type Run struct {
	ID        string
	Header    http.Header
	Host      string
	URI       string
	LastEvent string
}

// Worker serves requests on a listener.
type Worker struct {
	id       string
	events   int
	pause    time.Duration
	listener net.Listener

	mu     sync.Mutex
	faults []Fault
	runs   []Run
	left   []string
	dials  int
	// leaving is the header field that says so in all answers, if it leaves.
	leaving string
}

// Start returns a worker with an id that streams a number of events with a
// pause between them.
func Start(l net.Listener, id string, events int, pause time.Duration) *Worker {
	w := &Worker{id: id, events: events, pause: pause, listener: l}
	go w.accept()
	return w
}

// Address returns the IP address and port.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Close stops accepting connections.
func (w *Worker) Close() { _ = w.listener.Close() }

// Next sets how the next requests are treated, in order.
func (w *Worker) Next(faults ...Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, faults...)
}

// Leave makes the worker say in all its answers that it is leaving.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = "Server-Leaving: 1\r\n"
}

func (w *Worker) leavingHeader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// Runs returns the requests that were run.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run{}, w.runs...)
}

// Left returns the ids of the requests whose caller went away.
func (w *Worker) Left() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string{}, w.left...)
}

// Dials returns the number of connections accepted.
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
		w.mu.Lock()
		w.dials++
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *Worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = r.Body.Close()
		if !w.answer(c, r) {
			return
		}
	}
}

func (w *Worker) fault() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) == 0 {
		return None
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	return f
}

// answer reports whether the connection may be used again.
func (w *Worker) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != w.id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.leavingHeader(), w.id)
		return true
	}
	fault := w.fault()
	if fault == Refuse {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sX-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", w.leavingHeader(), id)
		return true
	}
	w.mu.Lock()
	w.runs = append(w.runs, Run{ID: id, Header: r.Header, Host: r.Host, URI: r.RequestURI, LastEvent: r.Header.Get("Last-Event-Id")})
	w.mu.Unlock()
	switch {
	case fault == Lose:
		return false
	case fault == Hang:
		var b [1]byte
		_, _ = c.Read(b[:])
		return false
	case r.Method == http.MethodPost && r.Header.Get("X-Token-Count") != "":
		return w.stream(c, r, fault)
	}
	body := "answer to " + id
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nX-Server-Load: 1,0,16\r\nContent-Length: %d\r\n\r\n%s", w.leavingHeader(), id, w.id, len(body), body)
	_, _ = c.Write([]byte(answer))
	if fault == AnswerTwice {
		_, _ = c.Write([]byte(answer))
	}
	return true
}

func (w *Worker) stream(c net.Conn, r *http.Request, fault Fault) bool {
	id := r.Header.Get("X-Attempt-Id")
	first, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		first = 0
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", w.leavingHeader(), id, w.id)
	for n := first + 1; n <= w.events; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
		if fault == CutStream && n == first+2 {
			_, _ = fmt.Fprintf(c, "%x\r\n%s", len(event), event[:8])
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			w.mu.Lock()
			w.left = append(w.left, id)
			w.mu.Unlock()
			return false
		}
		time.Sleep(w.pause)
	}
	_, _ = fmt.Fprint(c, "0\r\n\r\n")
	return true
}
