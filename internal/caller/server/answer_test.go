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
	part = "data: {\"choices\":[{\"delta\":{\"content\":\"say data: [DONE]\"}}]}\n\n"
	last = "data: [DONE]\n\n"
)

// serve answers callers with parts and then with err, and returns the address.
func serve(t *testing.T, err error, parts ...string) string {
	t.Helper()
	handler := hawthornrail.HandlerFunc(func(_ context.Context, _ *hawthornrail.Request, w hawthornrail.AnswerWriter) error {
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
	s := server.New(handler, nil, nil, traces.NewNone(), events.Discard(), server.Options{
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

var errCut = hawthornrail.NewFailure(hawthornrail.CodeAnswerCut, hawthornrail.VerdictMayHaveRun, errors.New("engine died"))

// readClient reads a stream with an ordinary client.
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

// A stream that was cut never looks finished.
func TestStreams(t *testing.T) {
	t.Run("whole, with the marker of the end inside a text", func(t *testing.T) {
		text, err := readClient(t, serve(t, nil, part, part[:9], part[9:], last))
		if !errors.Is(err, io.EOF) || strings.Count(text, "say") != 2 {
			t.Errorf("got %q, %v", text, err)
		}
	})
	t.Run("nothing is held back before the last event", func(t *testing.T) {
		if _, err := readClient(t, serve(t, errCut, part)); errors.Is(err, io.EOF) {
			t.Errorf("got %v", err)
		}
	})
	for name, parts := range map[string][]string{
		"cut between events": {part}, "cut within an event": {part, part[:20]},
		"cut after the last event came": {part, last}, "cut before any event": {},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, errCut, parts...)
			if _, err := readClient(t, address); err == nil || errors.Is(err, io.EOF) {
				t.Errorf("client got %v, want an error", err)
			}
			raw := readRaw(t, address)
			if strings.Contains(raw, last) || strings.HasSuffix(raw, "0\r\n\r\n") {
				t.Errorf("looks finished: %s", raw)
			}
		})
	}
	t.Run("an end that comes twice", func(t *testing.T) {
		raw := readRaw(t, serve(t, nil, part, last+part+last))
		if strings.Count(raw, last) != 1 || !strings.HasSuffix(raw, "0\r\n\r\n") {
			t.Errorf("got %s", raw)
		}
	})
}

// A fast engine before a slow caller is held up and not buffered.
func TestSlowCaller(t *testing.T) {
	sent := make(chan int, 1<<16)
	handler := hawthornrail.HandlerFunc(func(_ context.Context, _ *hawthornrail.Request, w hawthornrail.AnswerWriter) error {
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
	s := server.New(handler, nil, nil, traces.NewNone(), events.Discard(), server.Options{RequestTimeout: time.Minute})
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
		t.Errorf("%d bytes were taken for a caller that reads none, want at most %d", total, limit)
	}
	t.Logf("%d bytes taken", total)
}
