package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
)

var lastEvent = []byte("data: [DONE]")

// wholeWriter keeps an answer until it is known to be whole.
type wholeWriter struct {
	status      int
	contentType string
	body        bytes.Buffer
}

// Head keeps the head.
func (w *wholeWriter) Head(status int, contentType string) error {
	w.status, w.contentType = status, contentType
	return nil
}

// Chunk keeps a part.
func (w *wholeWriter) Chunk(data []byte) error {
	w.body.Write(data)
	return nil
}

// streamWriter passes events on as they arrive, but keeps the last one back:
// it goes out once the answer is recorded.
type streamWriter struct {
	head chan head
	out  *bufio.Writer
	open chan struct{}
	held eventBuffer
}

type head struct {
	status      int
	contentType string
	err         error
}

// Head hands the head to the connection.
func (w *streamWriter) Head(status int, contentType string) error {
	w.head <- head{status: status, contentType: contentType}
	<-w.open
	return nil
}

// Chunk writes events up to the last one.
func (w *streamWriter) Chunk(data []byte) error {
	if _, err := w.out.Write(w.held.add(data)); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if err := w.out.Flush(); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// finish ends the stream: whole with its last event, or with the error and a
// body without an end, so that no client takes it for finished.
func (w *streamWriter) finish(err error, body *io.PipeWriter) {
	if err == nil {
		_, _ = w.out.Write(w.held.rest())
		_ = w.out.Flush()
		_ = body.Close()
		return
	}
	defer func() { _ = body.CloseWithError(err) }()
	data, encodeErr := json.Marshal(failureBody(hawthornrail.AsFailure(err)))
	if encodeErr != nil {
		return
	}
	_, _ = fmt.Fprintf(w.out, "data: %s\n\n", data)
	_ = w.out.Flush()
}

// serveStream answers with the head as soon as it is known; a failure before
// it becomes an ordinary error.
func (s *Server) serveStream(ctx context.Context, cancel context.CancelFunc, c *fasthttp.RequestCtx, r *hawthornrail.Request) {
	w := &streamWriter{head: make(chan head, 1), open: make(chan struct{})}
	done := make(chan error, 1)
	go func() {
		err := s.run(ctx, r, w)
		done <- err
		w.head <- head{err: err}
	}()
	h := <-w.head
	if h.err != nil {
		cancel()
		writeFailure(c, h.err)
		return
	}
	c.SetStatusCode(h.status)
	c.SetContentType(h.contentType)
	c.Response.Header.Set("Cache-Control", "no-store")
	reader, body := io.Pipe()
	w.out = bufio.NewWriter(body)
	close(w.open)
	c.SetBodyStream(reader, -1)
	go func() {
		defer cancel()
		w.finish(<-done, body)
	}()
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code         string `json:"code"`
	Type         string `json:"type"`
	Message      string `json:"message"`
	Verdict      string `json:"verdict"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func failureBody(f *hawthornrail.Failure) errorBody {
	return errorBody{Error: errorFields{
		Code: string(f.Code()), Type: string(f.Code()), Message: f.Message(),
		Verdict: f.Verdict().String(), RetryAfterMS: retryMillis(f.RetryAfter()),
	}}
}

// retryMillis rounds up, so that a wait that is known never reads as none.
func retryMillis(wait time.Duration) int64 {
	return int64(math.Ceil(float64(wait) / float64(time.Millisecond)))
}

func writeFailure(ctx *fasthttp.RequestCtx, err error) {
	f := hawthornrail.AsFailure(err)
	ctx.Response.Header.Set(HeaderVerdict, f.Verdict().String())
	if wait := f.RetryAfter(); wait > 0 {
		ctx.Response.Header.Set(retryAfterHeader, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		ctx.Response.Header.Set(retryAfterMillis, strconv.FormatInt(retryMillis(wait), 10))
	}
	writeJSON(ctx, statusOf(f.Code()), failureBody(f))
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func statusOf(code hawthornrail.Code) int {
	switch code {
	case hawthornrail.CodeBadRequest:
		return http.StatusBadRequest
	case hawthornrail.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case hawthornrail.CodeUnauthorized, hawthornrail.CodeKeyWithdrawn:
		return http.StatusUnauthorized
	case hawthornrail.CodeForbidden:
		return http.StatusForbidden
	case hawthornrail.CodeUnknownModel, hawthornrail.CodeUnknownService, hawthornrail.CodeUnknownProgram:
		return http.StatusNotFound
	case hawthornrail.CodeProgramEnded, hawthornrail.CodeCallOrder, hawthornrail.CodeCallConflict:
		return http.StatusConflict
	case hawthornrail.CodeBudget:
		return http.StatusPaymentRequired
	case hawthornrail.CodeRate, hawthornrail.CodeOverload:
		return http.StatusTooManyRequests
	case hawthornrail.CodeInternal:
		return http.StatusInternalServerError
	case hawthornrail.CodeEndpointFailed, hawthornrail.CodeAnswerCut:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
