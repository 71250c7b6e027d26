package server_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sashabaranov/go-openai"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/caller/server"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
)

const (
	deltaEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"say data: [DONE]\"}}]}\n\n"
	doneEvent  = "data: [DONE]\n\n"
)

// serve starts a server that sends parts as a stream and then returns err; it
// returns the address.
func serve(t *testing.T, err error, parts ...string) string {
	t.Helper()
	handler := hawthornrail.HandlerFunc(func(_ context.Context, _ *hawthornrail.Request, w hawthornrail.ResponseWriter) error {
		if err := w.Head(200, "text/event-stream"); err != nil {
			return err
		}
		for _, p := range parts {
			if err := w.Chunk([]byte(p)); err != nil {
				return err
			}
		}
		return err
	})
	s := server.New(handler, nil, nil, nil, traces.NewNoop(), events.Discard(), server.Options{
		MaxBodyBytes: 1 << 20, ReadTimeout: time.Second, RequestTimeout: time.Minute,
	})
	l, listenErr := net.Listen("tcp", "127.0.0.1:0")
	if listenErr != nil {
		t.Fatal(listenErr)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

var errTruncated = hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, errors.New("engine died"))

// readClient reads a stream with a public client library.
func readClient(t *testing.T, address string) (string, error) {
	t.Helper()
	config := openai.DefaultConfig("key")
	config.BaseURL = "http://" + address + "/v1"
	stream, err := openai.NewClientWithConfig(config).CreateChatCompletionStream(context.Background(),
		openai.ChatCompletionRequest{Model: "counter"})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	for {
		p, err := stream.Recv()
		if err != nil {
			return text.String(), err
		}
		text.WriteString(p.Choices[0].Delta.Content)
	}
}

func readRaw(t *testing.T, address string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	body := `{"model":"counter","stream":true}`
	_, _ = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	data, _ := io.ReadAll(c)
	return string(data)
}

// A truncated stream never passes as complete, neither for a client library nor
// on the wire.
func TestStreamCompleteness(t *testing.T) {
	t.Run("complete, with the end marker inside a text", func(t *testing.T) {
		text, err := readClient(t, serve(t, nil, deltaEvent, deltaEvent[:9], deltaEvent[9:], doneEvent))
		if !errors.Is(err, io.EOF) || strings.Count(text, "say") != 2 {
			t.Errorf("got %q, %v", text, err)
		}
	})
	t.Run("error after an event and without the last one", func(t *testing.T) {
		if _, err := readClient(t, serve(t, errTruncated, deltaEvent)); errors.Is(err, io.EOF) {
			t.Errorf("got %v", err)
		}
	})
	for name, parts := range map[string][]string{
		"truncated between events": {deltaEvent}, "truncated within an event": {deltaEvent, deltaEvent[:20]},
		"failed after the last event": {deltaEvent, doneEvent}, "failed before any event": {},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, errTruncated, parts...)
			if _, err := readClient(t, address); err == nil || errors.Is(err, io.EOF) {
				t.Errorf("client got %v, want an error", err)
			}
			raw := readRaw(t, address)
			if strings.Contains(raw, doneEvent) || strings.HasSuffix(raw, "0\r\n\r\n") {
				t.Errorf("stream looks complete: %s", raw)
			}
		})
	}
	t.Run("last event sent twice", func(t *testing.T) {
		raw := readRaw(t, serve(t, nil, deltaEvent, doneEvent+deltaEvent+doneEvent))
		if strings.Count(raw, doneEvent) != 1 || !strings.HasSuffix(raw, "0\r\n\r\n") {
			t.Errorf("got %s", raw)
		}
	})
}

// The stream of a fast engine to a slow caller is throttled instead of buffered.
func TestBackpressureOfSlowCaller(t *testing.T) {
	sent := make(chan int, 1<<16)
	handler := hawthornrail.HandlerFunc(func(_ context.Context, _ *hawthornrail.Request, w hawthornrail.ResponseWriter) error {
		_ = w.Head(200, "text/event-stream")
		event := []byte("data: {\"x\":\"" + strings.Repeat("x", 64<<10) + "\"}\n\n")
		for range 1 << 12 {
			if err := w.Chunk(event); err != nil {
				return err
			}
			sent <- len(event)
		}
		return nil
	})
	s := server.New(handler, nil, nil, nil, traces.NewNoop(), events.Discard(), server.Options{RequestTimeout: time.Minute})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() { _ = s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	body := `{"model":"counter","stream":true}`
	_, _ = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	total, idle := 0, 500*time.Millisecond
	for waiting := true; waiting; {
		select {
		case n := <-sent:
			total += n
		case <-time.After(idle):
			waiting = false
		}
	}
	_ = c.Close()
	if limit := 32 << 20; total > limit {
		t.Errorf("%d bytes were accepted for a caller that reads nothing, want at most %d", total, limit)
	}
	t.Logf("%d bytes accepted", total)
}
