package http_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/engine"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/endpoint/service"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
)

// rawEndpoint returns an endpoint that sends the nth raw response to the nth
// request over all connections, and closes the connection after each response
// unless keepAlive is set.
func rawEndpoint(t *testing.T, keepAlive bool, responses ...string) hawthornrail.Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	pending := make(chan string, len(responses))
	for _, response := range responses {
		pending <- response
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, pending, keepAlive)
		}
	}()
	return hawthornrail.NewEndpoint("raw", hawthornrail.EngineEndpoint, "dc1", l.Addr().String(), nil)
}

func serveRaw(c net.Conn, pending <-chan string, keepAlive bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		length := 0
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
			if line == "\r\n" {
				break
			}
		}
		_, _ = r.Discard(length)
		_, _ = c.Write([]byte(<-pending))
		if !keepAlive {
			return
		}
	}
}

type responseRecorder struct {
	strings.Builder
}

func (c *responseRecorder) Head(int, string) error { return nil }

func (c *responseRecorder) Chunk(data []byte) error {
	_, err := c.Write(data)
	return err
}

const (
	sizedResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
	chunkedHead   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	completion    = `{"choices":[{"message":{"content":"hi"}}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`
	deltaEvent    = "data: {\"choices\":[{\"delta\":{\"content\":\"w\"}}]}\n\n"
	doneEvent     = "data: [DONE]\n\n"
	lastChunk     = "0\r\n\r\n"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// A response that the endpoint did not complete, or that exceeds its token
// limit, is an error and never passes as complete; a stream ends only once.
func TestResponseCompleteness(t *testing.T) {
	complete := fmt.Sprintf(sizedResponse, len(completion), completion)
	cases := []struct {
		name   string
		engine bool
		stream bool
		raw    string
		want   hawthornrail.Code
	}{
		{"engine, complete", true, false, complete, ""},
		{"engine, body shorter than its length", true, false, fmt.Sprintf(sizedResponse, len(completion)+1, completion), hawthornrail.CodeResponseTruncated},
		{"engine, body longer than its length", true, false, fmt.Sprintf(sizedResponse, len(completion)-1, completion), hawthornrail.CodeResponseTruncated},
		{"engine, truncated JSON with a correct length", true, false, fmt.Sprintf(sizedResponse, 20, completion[:20]), hawthornrail.CodeResponseTruncated},
		{"engine, truncated head", true, false, complete[:30], hawthornrail.CodeEndpointFailed},
		{"engine, more tokens than allowed", true, false, strings.ReplaceAll(complete, `s":1}}`, `s":9}}`), hawthornrail.CodeBudget},
		{"stream, complete", true, true, chunkedHead + chunk(deltaEvent+doneEvent) + lastChunk, ""},
		{"stream, nothing after the last event", true, true, chunkedHead + chunk(deltaEvent+doneEvent), ""},
		{"stream, without last event", true, true, chunkedHead + chunk(deltaEvent) + lastChunk, hawthornrail.CodeResponseTruncated},
		{"stream, truncated within an event", true, true, chunkedHead + chunk(deltaEvent[:20]), hawthornrail.CodeResponseTruncated},
		{"stream, truncated event with a line end", true, true, chunkedHead + chunk(deltaEvent[:20]+"\n"+doneEvent) + lastChunk, hawthornrail.CodeResponseTruncated},
		{"stream, sent twice", true, true, chunkedHead + chunk(deltaEvent+doneEvent+deltaEvent+doneEvent) + lastChunk, ""},
		{"stream, past the token limit", true, true, chunkedHead + chunk(strings.Repeat(deltaEvent, 5)+doneEvent) + lastChunk, hawthornrail.CodeBudget},
		{"service, complete", false, false, complete, ""},
		{"service, complete chunks", false, false, chunkedHead + chunk("hi") + lastChunk, ""},
		{"service, chunks without the last one", false, false, chunkedHead + chunk("hi"), hawthornrail.CodeResponseTruncated},
		{"service, body without a length", false, false, "HTTP/1.1 200 OK\r\n\r\nhi", hawthornrail.CodeResponseTruncated},
		{"service, body shorter than its length", false, false, fmt.Sprintf(sizedResponse, 9, "hi"), hawthornrail.CodeResponseTruncated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := rawEndpoint(t, false, c.raw)
			out := &responseRecorder{}
			_, err := send(e, c.engine, c.stream, out)
			assertCode(t, err, c.want)
			if strings.Count(out.String(), "[DONE]") > 1 {
				t.Errorf("response ends twice: %s", out.String())
			}
		})
	}
}

// A response that is sent twice is not taken for the response to the next
// request.
func TestResponseToEarlierRequest(t *testing.T) {
	for _, isEngine := range []bool{true, false} {
		t.Run(fmt.Sprintf("engine %t", isEngine), func(t *testing.T) {
			first := strings.ReplaceAll(fmt.Sprintf(sizedResponse, len(completion), completion), "hi", "p1")
			second := strings.ReplaceAll(first, "p1", "p2")
			e := rawEndpoint(t, true, first+first, second)
			transport := http.New(clock.Real(), dial.New(nil))
			for _, want := range []string{"p1", "p2"} {
				out := &responseRecorder{}
				if _, err := sendOver(transport, e, isEngine, false, out); err != nil {
					t.Fatal(err)
				}
				if !strings.Contains(out.String(), want) {
					t.Errorf("got %s, want %s", out.String(), want)
				}
			}
		})
	}
}

func send(e hawthornrail.Endpoint, isEngine, stream bool, w hawthornrail.ResponseWriter) (hawthornrail.Response, error) {
	return sendOver(http.New(clock.Real(), dial.New(nil)), e, isEngine, stream, w)
}

func sendOver(transport *http.Transport, e hawthornrail.Endpoint, isEngine, stream bool, w hawthornrail.ResponseWriter) (hawthornrail.Response, error) {
	if isEngine {
		r := hawthornrail.NewModelRequest("counter", []byte("{}"), stream)
		r.SetOutputLimit(4)
		return engine.New(transport, traces.NewNoop()).Dispatch(context.Background(), e, r, "id", w)
	}
	r := hawthornrail.NewServiceRequest("orders", "POST", "/orders", "text/plain", nil)
	return service.New(transport, traces.NewNoop()).Dispatch(context.Background(), e, r, "id", w)
}

func assertCode(t *testing.T, err error, want hawthornrail.Code) {
	t.Helper()
	if want == "" && err == nil {
		return
	}
	f := hawthornrail.AsFailure(err)
	if f.Code() != want || f.Verdict() != hawthornrail.VerdictMayHaveRun {
		t.Errorf("got %v, want %s", err, want)
	}
}
