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

var doneEvent = []byte("data: [DONE]")

// bufferedWriter buffers a response until it is known to be complete.
type bufferedWriter struct {
	status      int
	contentType string
	body        bytes.Buffer
}

// Head stores the head.
func (w *bufferedWriter) Head(status int, contentType string) error {
	w.status, w.contentType = status, contentType
	return nil
}

// Chunk appends a part to the body.
func (w *bufferedWriter) Chunk(data []byte) error {
	w.body.Write(data)
	return nil
}

// streamWriter forwards events as they arrive, but holds back the last one until
// the response is recorded.
type streamWriter struct {
	heads     chan responseHead
	out       *bufio.Writer
	bodyReady chan struct{}
	pending   eventBuffer
}

type responseHead struct {
	status      int
	contentType string
	err         error
}

// Head passes the head to serveStream and waits until the body can be written.
func (w *streamWriter) Head(status int, contentType string) error {
	w.heads <- responseHead{status: status, contentType: contentType}
	<-w.bodyReady
	return nil
}

// Chunk writes the events before the last one.
func (w *streamWriter) Chunk(data []byte) error {
	if _, err := w.out.Write(w.pending.add(data)); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if err := w.out.Flush(); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// finish ends the stream. A complete stream ends with its last event. A failed
// one ends with the error and a body that is not terminated, so that no client
// takes it for complete.
func (w *streamWriter) finish(err error, body *io.PipeWriter) {
	if err == nil {
		_, _ = w.out.Write(w.pending.final())
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

// serveStream sends the head of the response as soon as it is known; a failure
// before that is sent as an error response.
func (s *Server) serveStream(ctx context.Context, cancel context.CancelFunc, c *fasthttp.RequestCtx, r *hawthornrail.Request) {
	w := &streamWriter{heads: make(chan responseHead, 1), bodyReady: make(chan struct{})}
	done := make(chan error, 1)
	go func() {
		err := s.run(ctx, r, w)
		done <- err
		w.heads <- responseHead{err: err}
	}()
	h := <-w.heads
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
	close(w.bodyReady)
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

// retryMillis rounds up, so that a known delay is never sent as 0.
func retryMillis(wait time.Duration) int64 {
	return int64(math.Ceil(float64(wait) / float64(time.Millisecond)))
}

func writeFailure(ctx *fasthttp.RequestCtx, err error) {
	f := hawthornrail.AsFailure(err)
	ctx.Response.Header.Set(HeaderVerdict, f.Verdict().String())
	if wait := f.RetryAfter(); wait > 0 {
		ctx.Response.Header.Set(retryAfterHeader, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		ctx.Response.Header.Set(retryAfterMillisHeader, strconv.FormatInt(retryMillis(wait), 10))
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
	case hawthornrail.CodeUnauthorized, hawthornrail.CodeKeyRevoked:
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
	case hawthornrail.CodeEndpointFailed, hawthornrail.CodeResponseTruncated:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
