package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	nethttp "net/http"
	"strconv"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
)

const copyBufferSize = 16 << 10

// Dispatcher sends requests to engines; it implements
// hawthornrail.Dispatcher.
type Dispatcher struct {
	transport *http.Transport
	tracer    *traces.Tracer
}

// New returns a dispatcher over a transport.
func New(transport *http.Transport, tracer *traces.Tracer) *Dispatcher {
	return &Dispatcher{transport: transport, tracer: tracer}
}

// Dispatch sends the request and copies the response to w as it arrives. It
// returns an error unless the engine has marked the response as complete.
func (d *Dispatcher) Dispatch(ctx context.Context, e hawthornrail.Endpoint, r *hawthornrail.Request, requestID string, w hawthornrail.ResponseWriter) (response hawthornrail.Response, err error) {
	ctx, span := d.tracer.Start(ctx, "engine")
	defer func() { traces.Finish(span, err) }()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	fillRequest(ctx, request, e, r, requestID)
	exchange, err := d.transport.Do(ctx, e.Address(), request, true)
	if errors.Is(err, http.ErrUnsent) {
		return response, failure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictNotRun, e, err)
	}
	if err != nil {
		return response, failure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictMayHaveRun, e, err)
	}
	defer exchange.Close()
	if exchange.Status() >= nethttp.StatusInternalServerError {
		err := fmt.Errorf("status %d", exchange.Status())
		return response, failure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictMayHaveRun, e, err)
	}
	if err := w.Head(exchange.Status(), exchange.ContentType()); err != nil {
		return response, failure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, e, err)
	}
	return receiveResponse(e, r, exchange, w)
}

func fillRequest(ctx context.Context, request *fasthttp.Request, e hawthornrail.Endpoint, r *hawthornrail.Request, requestID string) {
	request.Header.SetMethod(r.Method())
	request.SetRequestURI("http://" + e.Address() + r.Path())
	request.Header.SetContentType(r.ContentType())
	request.Header.Set("X-Request-Id", requestID)
	request.Header.Set("X-Program-Id", r.Program())
	request.Header.Set("X-Priority", strconv.Itoa(r.Deployment().Priority()))
	if parent := traces.Traceparent(ctx); parent != "" {
		request.Header.Set("traceparent", parent)
	}
	request.SetBody(r.Body())
}

func receiveResponse(e hawthornrail.Endpoint, r *hawthornrail.Request, exchange *http.Exchange, w hawthornrail.ResponseWriter) (hawthornrail.Response, error) {
	a := &assembler{stream: r.Stream() && exchange.Status() == nethttp.StatusOK, limit: r.OutputLimit()}
	if err := copyResponse(a, exchange, w); err != nil {
		return hawthornrail.Response{}, truncated(e, err)
	}
	if exchange.Status() != nethttp.StatusOK {
		if !exchange.Framed() {
			return hawthornrail.Response{}, truncated(e, errIncomplete)
		}
		return hawthornrail.NewResponse(exchange.Status(), exchange.ContentType(), a.body.Bytes(), nil, hawthornrail.Usage{}), nil
	}
	message, usage, err := a.finish()
	if err != nil {
		return hawthornrail.Response{}, truncated(e, err)
	}
	return hawthornrail.NewResponse(exchange.Status(), exchange.ContentType(), a.body.Bytes(), message, usage), nil
}

// copyResponse copies the response to w up to its end.
func copyResponse(a *assembler, exchange *http.Exchange, w hawthornrail.ResponseWriter) error {
	chunk := make([]byte, copyBufferSize)
	for !a.done {
		n, readErr := exchange.Read(chunk)
		if err := exchange.Hold(a.body.Len() + n); err != nil {
			return err
		}
		used, err := a.add(chunk[:n])
		if err != nil {
			return err
		}
		if used > 0 {
			if err := w.Chunk(chunk[:used]); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil && !a.done {
			return readErr
		}
	}
	return nil
}

// truncated returns the failure of an incomplete response. A response that
// exceeds the token limit has the code of an exceeded budget, so that it is not
// requested again.
func truncated(e hawthornrail.Endpoint, err error) error {
	code := hawthornrail.CodeResponseTruncated
	if errors.Is(err, errTokenLimit) {
		code = hawthornrail.CodeBudget
	}
	return failure(code, hawthornrail.VerdictMayHaveRun, e, err)
}

func failure(code hawthornrail.Code, verdict hawthornrail.Verdict, e hawthornrail.Endpoint, err error) error {
	return hawthornrail.NewFailure(code, verdict, fmt.Errorf("endpoint %s: %w", e.Name(), err))
}
