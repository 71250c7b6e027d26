package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/caller/proxy"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
	"hawthornrail.example/hawthornrail/internal/policy/memory"
)

const (
	budgetBytes = 1 << 20
	bodyBytes   = 400 << 10
	headerBytes = 20 << 10
	// heldByHead is what a connection holds during a request with a short head and no body.
	heldByHead  = 4<<10 + 12<<10
	connections = 4
	// stallTime is a time after which a request that makes no progress loses its place.
	stallTime = 1200 * time.Millisecond
	// readTimeout bounds the wait for a response.
	readTimeout = 5 * time.Second
)

// codec is a codec without header fields of its own.
type codec struct{}

func (codec) Read(hawthornrail.HeaderReader, *hawthornrail.ForwardRequest) error { return nil }
func (codec) Forwarded(string) bool                                              { return true }

func (codec) Failure(f *hawthornrail.Failure) (int, []hawthornrail.Header) {
	statuses := map[hawthornrail.Code]int{
		hawthornrail.CodeBodyTooLarge: http.StatusRequestEntityTooLarge, hawthornrail.CodeRequestTimeout: http.StatusRequestTimeout,
		hawthornrail.CodeHeadTooLarge: http.StatusRequestHeaderFieldsTooLarge,
		hawthornrail.CodeOverload:     http.StatusServiceUnavailable, hawthornrail.CodeBadRequest: http.StatusBadRequest,
	}
	return statuses[f.Code()], []hawthornrail.Header{hawthornrail.NewHeader("Retry-After", strconv.FormatFloat(f.RetryAfter().Seconds(), 'f', 3, 64))}
}

// bed is a server whose handler returns the body that it got.
type bed struct {
	address string
	memory  *memory.Budget
	server  *proxy.Server

	mu            sync.Mutex
	served        int
	responsesFull bool
	// response replaces the response of the handler unless it is nil.
	response *hawthornrail.ForwardResponse
}

// Forward returns the request's body.
func (b *bed) Forward(_ context.Context, r *hawthornrail.ForwardRequest) (*hawthornrail.ForwardResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.served++
	if b.response != nil {
		return b.response, nil
	}
	return hawthornrail.NewForwardResponse(http.StatusOK, nil, r.Body()), nil
}

func (b *bed) full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.responsesFull
}

func newBed(t *testing.T) *bed {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{address: l.Addr().String(), memory: memory.NewBudget(budgetBytes)}
	b.server = proxy.New(proxy.Dependencies{
		Handler: b, Codec: codec{}, Clock: clock.Real(), Recorder: trail.NewRecorder(io.Discard, "vm1", 1),
		Forwards: metrics.NewForwards(gometrics.NewRegistry()), Log: events.Discard(), Memory: b.memory, ResponsesFull: b.full,
		MaxHeaderBytes: headerBytes, MaxBodyBytes: bodyBytes, MaxConnections: connections,
	})
	ended := make(chan error, 1)
	go func() { ended <- b.server.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		if err := b.server.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if held := b.memory.Held(); held != 0 {
			t.Errorf("%d bytes held in the end", held)
		}
	})
	return b
}

// caller is a connection to the server.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (b *bed) dial(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(readTimeout)); err != nil {
		t.Fatal(err)
	}
	return &caller{Conn: c, reader: bufio.NewReader(c)}
}

// send writes text; a server that has closed the connection makes it fail.
func (c *caller) send(text string) { _, _ = c.Write([]byte(text)) }

const (
	announced = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
	chunked   = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// response reads a response and returns its body.
func (c *caller) response(t *testing.T, status int) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode != status {
		t.Fatalf("status %d, want %d, error %v", r.StatusCode, status, err)
	}
	return r, string(body)
}

func (c *caller) assertRefused(t *testing.T, status int) {
	t.Helper()
	r, _ := c.response(t, status)
	if retryAfter, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); (retryAfter > 0) != (status == http.StatusServiceUnavailable) {
		t.Errorf("status %d with Retry-After %q", status, r.Header.Get("Retry-After"))
	}
	if _, err := c.reader.ReadByte(); err == nil {
		t.Error("the connection is still open")
	}
}

// Guards against requests on one connection that are lost, changed or mixed up since the
// connection holds no buffer between them.
func TestRequestsOnOneConnection(t *testing.T) {
	b := newBed(t)
	c := b.dial(t)
	large := strings.Repeat("ab", bodyBytes/2)
	for n, body := range []string{"one", large, "", "two", large} {
		c.send(fmt.Sprintf(announced, len(body)) + body)
		if _, got := c.response(t, http.StatusOK); got != body {
			t.Errorf("request %d: %d bytes, want %d", n, len(got), len(body))
		}
		time.Sleep(time.Duration(n) * 10 * time.Millisecond)
	}
	t.Run("pipelined", func(t *testing.T) {
		c.send(chunked + "3\r\none\r\n0\r\n\r\n" + fmt.Sprintf(announced, 3) + "two" + chunked + "5\r\nth")
		for _, want := range []string{"one", "two"} {
			if _, got := c.response(t, http.StatusOK); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
		c.send("ree\r\n0\r\n\r\n")
		if _, got := c.response(t, http.StatusOK); got != "three" {
			t.Errorf("got %q", got)
		}
	})
	t.Run("waits for 100", func(t *testing.T) {
		c.send("POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		c.response(t, http.StatusContinue)
		c.send("four")
		if _, got := c.response(t, http.StatusOK); got != "four" {
			t.Errorf("got %q", got)
		}
	})
}

// Guards against heads that are refused or cut at the size of the small buffer, and
// against an end of a head that is missed at a boundary of reads.
func TestHeads(t *testing.T) {
	b := newBed(t)
	for _, size := range []int{0, 3900, 3990, 4000, 4010, 4096, 4097, 8 << 10, 20_000} {
		for _, part := range []int{1 << 20, 1000, 7} {
			c := b.dial(t)
			request := "\r\nPOST /x HTTP/1.1\r\nHost: a\r\nX-Padding: " + strings.Repeat("a", size) + "\r\nContent-Length: 4\r\n\r\ntext"
			for len(request) > 0 {
				n := min(part, len(request))
				c.send(request[:n])
				request = request[n:]
			}
			if _, got := c.response(t, http.StatusOK); got != "text" {
				t.Errorf("padding of %d in parts of %d: got %q", size, part, got)
			}
			_ = c.Close()
		}
	}
	t.Run("too long", func(t *testing.T) {
		c := b.dial(t)
		c.send("POST /x HTTP/1.1\r\nHost: a\r\nX-Padding: " + strings.Repeat("a", headerBytes) + "\r\n\r\n")
		c.assertRefused(t, http.StatusRequestHeaderFieldsTooLarge)
	})
}

// Guards against bodies over the limit that are read, or whose callers get no response.
func TestLongBodies(t *testing.T) {
	b := newBed(t)
	for name, request := range map[string]string{
		"announced":     fmt.Sprintf(announced, bodyBytes+1) + "a",
		"waits for 100": fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", bodyBytes+1),
		"chunked":       chunked + fmt.Sprintf("%x\r\n%s\r\n", bodyBytes+1, bytes.Repeat([]byte("a"), bodyBytes+1)),
	} {
		t.Run(name, func(t *testing.T) {
			c := b.dial(t)
			c.send(request)
			c.assertRefused(t, http.StatusRequestEntityTooLarge)
		})
	}
	if b.served > 0 {
		t.Errorf("%d requests reached the handler", b.served)
	}
}

// Guards against bodies that exceed the memory together, and against the refusal of
// small requests beside them.
func TestBodiesBeyondTheMemory(t *testing.T) {
	b := newBed(t)
	stalled := b.dial(t)
	stalled.send(fmt.Sprintf(announced, bodyBytes) + strings.Repeat("a", bodyBytes-1))
	awaitHeld(t, b, bodyBytes)
	refused := b.dial(t)
	refused.send(fmt.Sprintf(announced, bodyBytes) + "a")
	refused.assertRefused(t, http.StatusServiceUnavailable)
	small := b.dial(t)
	small.send(fmt.Sprintf(announced, 4) + "text")
	small.response(t, http.StatusOK)
	time.Sleep(stallTime)
	again := b.dial(t)
	again.send(fmt.Sprintf(announced, bodyBytes) + "a")
	again.assertRefused(t, http.StatusServiceUnavailable)
	stalled.assertRefused(t, http.StatusRequestTimeout)
	served := b.dial(t)
	served.send(fmt.Sprintf(announced, bodyBytes) + strings.Repeat("a", bodyBytes))
	served.response(t, http.StatusOK)
}

// awaitHeld waits until requests hold a number of bytes.
func awaitHeld(t *testing.T, b *bed, bytes int64) {
	t.Helper()
	for end := time.Now().Add(readTimeout); b.memory.Held() < bytes; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes held, want %d", b.memory.Held(), bytes)
		}
	}
}

// awaitReleased waits until requests hold nothing.
func awaitReleased(t *testing.T, b *bed) {
	t.Helper()
	for end := time.Now().Add(readTimeout); b.memory.Held() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes held", b.memory.Held())
		}
	}
}

// Guards against requests that run although no memory is left for their responses.
func TestUnreadResponsesStopRequests(t *testing.T) {
	b := newBed(t)
	b.mu.Lock()
	b.responsesFull = true
	b.mu.Unlock()
	c := b.dial(t)
	c.send(fmt.Sprintf(announced, 4) + "text")
	c.assertRefused(t, http.StatusServiceUnavailable)
	if b.served > 0 {
		t.Error("the request ran")
	}
}

// Guards against a response that no longer counts although its caller has not read it.
func TestResponseCountsUntilItIsRead(t *testing.T) {
	b := newBed(t)
	const unreadBytes = 32 << 20
	released := make(chan struct{})
	b.response = hawthornrail.NewForwardResponse(http.StatusOK, nil, make([]byte, unreadBytes)).WithRelease(func() { close(released) })
	c := b.dial(t)
	c.send(fmt.Sprintf(announced, 0))
	select {
	case <-released:
		t.Error("released before the caller has read it")
	case <-time.After(300 * time.Millisecond):
	}
	if _, body := c.response(t, http.StatusOK); len(body) != unreadBytes {
		t.Errorf("%d bytes", len(body))
	}
	select {
	case <-released:
	case <-time.After(readTimeout):
		t.Error("not released")
	}
}

// Guards against idle connections that keep new callers out, and against connections
// without a bound.
func TestConnectionsAreBounded(t *testing.T) {
	b := newBed(t)
	var idle []*caller
	for range connections {
		c := b.dial(t)
		c.send(fmt.Sprintf(announced, 0))
		c.response(t, http.StatusOK)
		idle = append(idle, c)
		// The connection begins to wait once it holds nothing; the first one waits longest.
		awaitReleased(t, b)
		time.Sleep(20 * time.Millisecond)
	}
	c := b.dial(t)
	c.send(fmt.Sprintf(announced, 4) + "te")
	if _, err := idle[0].reader.ReadByte(); err == nil {
		t.Error("the connection that waits longest is still open")
	}
	awaitHeld(t, b, 1)
	for _, busy := range idle[1:] {
		busy.send(fmt.Sprintf(announced, 4) + "te")
	}
	awaitHeld(t, b, connections*heldByHead)
	refused := b.dial(t)
	refused.assertRefused(t, http.StatusServiceUnavailable)
	c.send("xt")
	if _, got := c.response(t, http.StatusOK); got != "text" {
		t.Errorf("got %q", got)
	}
	for _, busy := range idle[1:] {
		_ = busy.Close()
	}
}
