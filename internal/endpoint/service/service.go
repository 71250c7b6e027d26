package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
)

const (
	copyBytes      = 16 << 10
	maxAnswerBytes = 32 << 20
)

// errNotWhole means that the end of an answer can't be told from a cut.
var errNotWhole = errors.New("answer is not whole")

// Dispatcher sends requests to service endpoints; it implements
// hawthornrail.Dispatcher.
type Dispatcher struct {
	transport *http.Transport
	tracer    *traces.Tracer
}

// New returns a dispatcher over a transport.
func New(transport *http.Transport, tracer *traces.Tracer) *Dispatcher {
	return &Dispatcher{transport: transport, tracer: tracer}
}

// Dispatch sends the request once and copies the answer to w.
func (d *Dispatcher) Dispatch(ctx context.Context, e hawthornrail.Endpoint, r *hawthornrail.Request, requestID string, w hawthornrail.AnswerWriter) (answer hawthornrail.Answer, err error) {
	ctx, span := d.tracer.Start(ctx, "service")
	defer func() { traces.Finish(span, err) }()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(r.Method())
	request.SetRequestURI("http://" + e.Address() + r.Path())
	request.Header.SetContentType(r.ContentType())
	request.Header.Set("X-Request-Id", requestID)
	request.Header.Set("Idempotency-Key", requestID)
	if parent := traces.Parent(ctx); parent != "" {
		request.Header.Set("traceparent", parent)
	}
	request.SetBody(r.Body())
	exchange, err := d.transport.Do(ctx, e.Address(), request, true)
	if errors.Is(err, http.ErrUnsent) {
		return answer, hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictNotRun, fmt.Errorf("endpoint %s: %w", e.Name(), err))
	}
	if err != nil {
		return answer, hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictMayHaveRun, fmt.Errorf("endpoint %s: %w", e.Name(), err))
	}
	defer exchange.Close()
	return copyAnswer(e, exchange, w)
}

func copyAnswer(e hawthornrail.Endpoint, exchange *http.Exchange, w hawthornrail.AnswerWriter) (hawthornrail.Answer, error) {
	if err := w.Head(exchange.Status(), exchange.ContentType()); err != nil {
		return hawthornrail.Answer{}, hawthornrail.NewFailure(hawthornrail.CodeAnswerCut, hawthornrail.VerdictMayHaveRun, err)
	}
	body, err := readBody(exchange, w)
	if err != nil {
		return hawthornrail.Answer{}, hawthornrail.NewFailure(hawthornrail.CodeAnswerCut, hawthornrail.VerdictMayHaveRun, fmt.Errorf("endpoint %s: %w", e.Name(), err))
	}
	return hawthornrail.NewAnswer(exchange.Status(), exchange.ContentType(), body, nil, hawthornrail.Usage{}), nil
}

func readBody(exchange *http.Exchange, w hawthornrail.AnswerWriter) ([]byte, error) {
	if !exchange.Framed() {
		return nil, fmt.Errorf("body without a length: %w", errNotWhole)
	}
	var body bytes.Buffer
	chunk := make([]byte, copyBytes)
	for {
		n, err := exchange.Read(chunk)
		body.Write(chunk[:n])
		if n > 0 {
			// The caller's absence does not end a request that is under way:
			// its outcome is still recorded.
			_ = w.Chunk(chunk[:n])
		}
		if errors.Is(err, io.EOF) {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		if body.Len() > maxAnswerBytes {
			return nil, fmt.Errorf("more than %d bytes: %w", maxAnswerBytes, errNotWhole)
		}
	}
}
