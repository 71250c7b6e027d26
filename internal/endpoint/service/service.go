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

const copyBufferSize = 16 << 10

// errIncomplete means that a complete response can't be distinguished from a
// truncated one.
var errIncomplete = errors.New("answer is not whole")

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

// Dispatch sends the request once and copies the response to w.
func (d *Dispatcher) Dispatch(ctx context.Context, e hawthornrail.Endpoint, r *hawthornrail.Request, requestID string, w hawthornrail.ResponseWriter) (response hawthornrail.Response, err error) {
	ctx, span := d.tracer.Start(ctx, "service")
	defer func() { traces.Finish(span, err) }()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(r.Method())
	// With a host of its own, the path is sent as it is; a URL would be parsed.
	request.Header.SetHost(e.Address())
	request.SetRequestURI(r.Path())
	request.Header.SetNoDefaultContentType(true)
	request.Header.SetContentType(r.ContentType())
	request.Header.Set("X-Request-Id", requestID)
	request.Header.Set("Idempotency-Key", requestID)
	if parent := traces.Traceparent(ctx); parent != "" {
		request.Header.Set("traceparent", parent)
	}
	request.SetBody(r.Body())
	exchange, err := d.transport.Do(ctx, e.Address(), request, true)
	if errors.Is(err, http.ErrUnsent) {
		return response, hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictNotRun, fmt.Errorf("endpoint %s: %w", e.Name(), err))
	}
	if err != nil {
		return response, hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictMayHaveRun, fmt.Errorf("endpoint %s: %w", e.Name(), err))
	}
	defer exchange.Close()
	return copyResponse(e, exchange, w)
}

func copyResponse(e hawthornrail.Endpoint, exchange *http.Exchange, w hawthornrail.ResponseWriter) (hawthornrail.Response, error) {
	if err := w.Head(exchange.Status(), exchange.ContentType()); err != nil {
		return hawthornrail.Response{}, hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, err)
	}
	body, err := readBody(exchange, w)
	if err != nil {
		return hawthornrail.Response{}, hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, fmt.Errorf("endpoint %s: %w", e.Name(), err))
	}
	return hawthornrail.NewResponse(exchange.Status(), exchange.ContentType(), body, nil, hawthornrail.Usage{}), nil
}

func readBody(exchange *http.Exchange, w hawthornrail.ResponseWriter) ([]byte, error) {
	if !exchange.Framed() {
		return nil, fmt.Errorf("body without a length: %w", errIncomplete)
	}
	var body bytes.Buffer
	chunk := make([]byte, copyBufferSize)
	for {
		n, err := exchange.Read(chunk)
		if err := exchange.Hold(body.Len() + n); err != nil {
			return nil, err
		}
		body.Write(chunk[:n])
		if n > 0 {
			// A request in flight does not end when the caller disconnects: its
			// outcome is still recorded.
			_ = w.Chunk(chunk[:n])
		}
		if errors.Is(err, io.EOF) {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}
