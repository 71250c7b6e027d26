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

// rawEndpoint answers the nth request of any connection with the nth text and
// then closes the connection, if the text is not kept alive.
func rawEndpoint(t *testing.T, keepAlive bool, answers ...string) hawthornrail.Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerRaw(c, next, keepAlive)
		}
	}()
	return hawthornrail.NewEndpoint("raw", hawthornrail.EngineEndpoint, "dc1", l.Addr().String(), nil)
}

func answerRaw(c net.Conn, next <-chan string, keepAlive bool) {
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
		_, _ = c.Write([]byte(<-next))
		if !keepAlive {
			return
		}
	}
}

type collector struct {
	strings.Builder
}

func (c *collector) Head(int, string) error { return nil }

func (c *collector) Chunk(data []byte) error {
	_, err := c.Write(data)
	return err
}

const (
	sized   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
	chunked = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	answer  = `{"choices":[{"message":{"content":"hi"}}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`
	delta   = "data: {\"choices\":[{\"delta\":{\"content\":\"w\"}}]}\n\n"
	last    = "data: [DONE]\n\n"
	endOf   = "0\r\n\r\n"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// Every caller gets the whole answer, or one that says it is not whole.
func TestAnswersOfEndpoints(t *testing.T) {
	whole := fmt.Sprintf(sized, len(answer), answer)
	cases := []struct {
		name   string
		engine bool
		stream bool
		raw    string
		want   hawthornrail.Code
	}{
		{"engine, whole", true, false, whole, ""},
		{"engine, body shorter than its length", true, false, fmt.Sprintf(sized, len(answer)+1, answer), hawthornrail.CodeAnswerCut},
		{"engine, body longer than its length", true, false, fmt.Sprintf(sized, len(answer)-1, answer), hawthornrail.CodeAnswerCut},
		{"engine, cut JSON with a correct length", true, false, fmt.Sprintf(sized, 20, answer[:20]), hawthornrail.CodeAnswerCut},
		{"engine, cut head", true, false, whole[:30], hawthornrail.CodeEndpointFailed},
		{"engine, more tokens than allowed", true, false, strings.ReplaceAll(whole, `s":1}}`, `s":9}}`), hawthornrail.CodeBudget},
		{"stream, whole", true, true, chunked + chunk(delta+last) + endOf, ""},
		{"stream, nothing after the last event", true, true, chunked + chunk(delta+last), ""},
		{"stream, without last event", true, true, chunked + chunk(delta) + endOf, hawthornrail.CodeAnswerCut},
		{"stream, cut within an event", true, true, chunked + chunk(delta[:20]), hawthornrail.CodeAnswerCut},
		{"stream, cut event that ends a line", true, true, chunked + chunk(delta[:20]+"\n"+last) + endOf, hawthornrail.CodeAnswerCut},
		{"stream, twice", true, true, chunked + chunk(delta+last+delta+last) + endOf, ""},
		{"stream, past the token limit", true, true, chunked + chunk(strings.Repeat(delta, 5)+last) + endOf, hawthornrail.CodeBudget},
		{"service, whole", false, false, whole, ""},
		{"service, whole chunks", false, false, chunked + chunk("hi") + endOf, ""},
		{"service, chunks without an end", false, false, chunked + chunk("hi"), hawthornrail.CodeAnswerCut},
		{"service, body without a length", false, false, "HTTP/1.1 200 OK\r\n\r\nhi", hawthornrail.CodeAnswerCut},
		{"service, body shorter than its length", false, false, fmt.Sprintf(sized, 9, "hi"), hawthornrail.CodeAnswerCut},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := rawEndpoint(t, false, c.raw)
			out := &collector{}
			_, err := ask(e, c.engine, c.stream, out)
			assertCode(t, err, c.want)
			if strings.Count(out.String(), "[DONE]") > 1 {
				t.Errorf("answer ends twice: %s", out.String())
			}
		})
	}
}

// An answer that comes twice is not taken for the one to the next request.
func TestAnswerOfAnEarlierRequest(t *testing.T) {
	for _, isEngine := range []bool{true, false} {
		t.Run(fmt.Sprintf("engine %t", isEngine), func(t *testing.T) {
			first := strings.ReplaceAll(fmt.Sprintf(sized, len(answer), answer), "hi", "p1")
			second := strings.ReplaceAll(first, "p1", "p2")
			e := rawEndpoint(t, true, first+first, second)
			transport := http.New(clock.Real(), dial.New(nil))
			for _, want := range []string{"p1", "p2"} {
				out := &collector{}
				if _, err := askOver(transport, e, isEngine, false, out); err != nil {
					t.Fatal(err)
				}
				if !strings.Contains(out.String(), want) {
					t.Errorf("got %s, want %s", out.String(), want)
				}
			}
		})
	}
}

func ask(e hawthornrail.Endpoint, isEngine, stream bool, w hawthornrail.AnswerWriter) (hawthornrail.Answer, error) {
	return askOver(http.New(clock.Real(), dial.New(nil)), e, isEngine, stream, w)
}

func askOver(transport *http.Transport, e hawthornrail.Endpoint, isEngine, stream bool, w hawthornrail.AnswerWriter) (hawthornrail.Answer, error) {
	if isEngine {
		r := hawthornrail.NewModelRequest("counter", []byte("{}"), stream)
		r.SetReplyLimit(4)
		return engine.New(transport, traces.NewNone()).Dispatch(context.Background(), e, r, "id", w)
	}
	r := hawthornrail.NewServiceRequest("orders", "POST", "/orders", "text/plain", nil)
	return service.New(transport, traces.NewNone()).Dispatch(context.Background(), e, r, "id", w)
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
