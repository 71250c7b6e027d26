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

const copyBytes = 16 << 10

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

// Dispatch sends the request and copies the answer to w as it arrives; the
// answer is whole only if the engine says so.
func (d *Dispatcher) Dispatch(ctx context.Context, e hawthornrail.Endpoint, r *hawthornrail.Request, requestID string, w hawthornrail.AnswerWriter) (answer hawthornrail.Answer, err error) {
	ctx, span := d.tracer.Start(ctx, "engine")
	defer func() { traces.Finish(span, err) }()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	fill(ctx, request, e, r, requestID)
	exchange, err := d.transport.Do(ctx, e.Address(), request, true)
	if errors.Is(err, http.ErrUnsent) {
		return answer, fail(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictNotRun, e, err)
	}
	if err != nil {
		return answer, fail(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictMayHaveRun, e, err)
	}
	defer exchange.Close()
	if exchange.Status() >= nethttp.StatusInternalServerError {
		err := fmt.Errorf("status %d", exchange.Status())
		return answer, fail(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictMayHaveRun, e, err)
	}
	if err := w.Head(exchange.Status(), exchange.ContentType()); err != nil {
		return answer, fail(hawthornrail.CodeAnswerCut, hawthornrail.VerdictMayHaveRun, e, err)
	}
	return receive(e, r, exchange, w)
}

func fill(ctx context.Context, request *fasthttp.Request, e hawthornrail.Endpoint, r *hawthornrail.Request, requestID string) {
	request.Header.SetMethod(r.Method())
	request.SetRequestURI("http://" + e.Address() + r.Path())
	request.Header.SetContentType(r.ContentType())
	request.Header.Set("X-Request-Id", requestID)
	request.Header.Set("X-Program-Id", r.Program())
	request.Header.Set("X-Priority", strconv.Itoa(r.Deployment().Priority()))
	if parent := traces.Parent(ctx); parent != "" {
		request.Header.Set("traceparent", parent)
	}
	request.SetBody(r.Body())
}

func receive(e hawthornrail.Endpoint, r *hawthornrail.Request, exchange *http.Exchange, w hawthornrail.AnswerWriter) (hawthornrail.Answer, error) {
	a := &assembler{stream: r.Stream() && exchange.Status() == nethttp.StatusOK, limit: r.ReplyLimit()}
	if err := copyAnswer(a, exchange, w); err != nil {
		return hawthornrail.Answer{}, cut(e, err)
	}
	if exchange.Status() != nethttp.StatusOK {
		if !exchange.Framed() {
			return hawthornrail.Answer{}, cut(e, errNotWhole)
		}
		return hawthornrail.NewAnswer(exchange.Status(), exchange.ContentType(), a.body.Bytes(), nil, hawthornrail.Usage{}), nil
	}
	reply, usage, err := a.finish()
	if err != nil {
		return hawthornrail.Answer{}, cut(e, err)
	}
	return hawthornrail.NewAnswer(exchange.Status(), exchange.ContentType(), a.body.Bytes(), reply, usage), nil
}

// copyAnswer passes the answer on up to its end.
func copyAnswer(a *assembler, exchange *http.Exchange, w hawthornrail.AnswerWriter) error {
	chunk := make([]byte, copyBytes)
	for !a.done {
		n, readErr := exchange.Read(chunk)
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

// cut is the failure of an answer that is not whole; an engine that goes on
// past its limit is not asked again.
func cut(e hawthornrail.Endpoint, err error) error {
	code := hawthornrail.CodeAnswerCut
	if errors.Is(err, errOverLimit) {
		code = hawthornrail.CodeBudget
	}
	return fail(code, hawthornrail.VerdictMayHaveRun, e, err)
}

func fail(code hawthornrail.Code, verdict hawthornrail.Verdict, e hawthornrail.Endpoint, err error) error {
	return hawthornrail.NewFailure(code, verdict, fmt.Errorf("endpoint %s: %w", e.Name(), err))
}
