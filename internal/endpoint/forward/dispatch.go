package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	nethttp "net/http"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
)

const (
	statusOK       = nethttp.StatusOK
	maxAnswerBytes = 32 << 20
)

// dispatch is one request on its way through one endpoint or several.
type dispatch struct {
	parts     *Parts
	request   *hawthornrail.ForwardRequest
	service   hawthornrail.Service
	trail     *trail.Trail
	lastEvent string

	sends int
	// ran are the endpoints that may have run the request.
	ran []string
	// avoid are the endpoints that are not tried again.
	avoid []string
	// repeat is the endpoint that must be tried next, if any.
	repeat string
}

// attempt is a request that an endpoint has begun to answer.
type attempt struct {
	endpoint hawthornrail.Endpoint
	query    hawthornrail.PickQuery
	exchange *http.Exchange
	sent     time.Time
	done     bool
}

// open sends the request until an endpoint answers it, or nothing more may be
// tried.
func (d *dispatch) open(ctx context.Context) (*attempt, error) {
	for {
		a, err := d.try(ctx)
		if err == nil {
			return a, nil
		}
		if !d.again(ctx, err) {
			return nil, d.worst(err)
		}
		d.note(events.ForwardRetried).Err(err).Int("sends", d.sends).Emit()
		d.parts.Forwards.Retried()
	}
}

// again reports whether the request may be sent once more after err.
func (d *dispatch) again(ctx context.Context, err error) bool {
	if ctx.Err() != nil || d.sends >= maxSends || d.left() < minLeft {
		return false
	}
	if len(d.ran) == 0 {
		return hawthornrail.AsFailure(err).Code() != hawthornrail.CodeNoEndpoint
	}
	return d.request.Route().Repeatable()
}

// worst keeps the verdict of an earlier send that may have run.
func (d *dispatch) worst(err error) error {
	f := hawthornrail.AsFailure(err)
	if len(d.ran) > 0 && f.Verdict() == hawthornrail.VerdictNotRun {
		return hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictMayHaveRun, err)
	}
	return f
}

func (d *dispatch) left() time.Duration {
	if d.request.Deadline().IsZero() {
		return time.Hour
	}
	return d.request.Deadline().Sub(d.parts.Clock.Now())
}

// try sends the request to one endpoint and reads the head of its answer.
func (d *dispatch) try(ctx context.Context) (*attempt, error) {
	a, err := d.pick()
	if err != nil {
		return nil, err
	}
	if d.left() < minLeft {
		d.finish(a, context.DeadlineExceeded, 0)
		return nil, hawthornrail.NotRun(hawthornrail.CodeDeadline, "the deadline has passed")
	}
	d.sends++
	a.sent = d.parts.Clock.Now()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	d.fill(request, a.endpoint)
	d.note(events.ForwardSent).Str("endpoint", a.endpoint.Name()).Str("service", d.service.Name()).
		Int("send", d.sends).Int("left_ms", int(d.left().Milliseconds())).Str("after_event", d.lastEvent).Emit()
	a.exchange, err = d.parts.Transport.DoAccepted(ctx, a.endpoint.Address(), request, d.accept)
	if err != nil {
		return nil, d.lost(ctx, a, err)
	}
	return d.read(a)
}

func (d *dispatch) pick() (*attempt, error) {
	kind := hawthornrail.ServiceEndpoint
	if d.service.Engine() {
		kind = hawthornrail.EngineEndpoint
	}
	q := hawthornrail.NewPickQuery(kind, d.service.Name(), d.request.Call().Program(), d.request.Prompt().Tokens()).Avoiding(d.avoid)
	if d.repeat != "" {
		if e, ok := d.parts.Config.Snapshot().Endpoint(d.repeat); ok {
			d.repeat = ""
			return &attempt{endpoint: d.parts.Pool.Take(e, q), query: q}, nil
		}
	}
	e, err := d.parts.Pool.Pick(q)
	if err != nil {
		return nil, err
	}
	return &attempt{endpoint: e, query: q}, nil
}

func (d *dispatch) fill(request *fasthttp.Request, e hawthornrail.Endpoint) {
	r := d.request
	request.Header.DisableNormalizing()
	request.Header.SetMethod(r.Method())
	request.SetRequestURI(r.URI())
	request.Header.SetHost(r.Host())
	request.Header.SetNoDefaultContentType(true)
	for _, h := range d.parts.Dialect.Headers(r, e, d.left(), d.lastEvent) {
		request.Header.Add(h.Name(), h.Value())
	}
	request.SetBodyRaw(r.Body())
}

func (d *dispatch) accept(h *fasthttp.ResponseHeader) bool {
	id := d.parts.Dialect.Read(h.StatusCode(), h).RequestID
	return id == "" || id == d.request.ID()
}

// lost ends an attempt that no answer came to.
func (d *dispatch) lost(ctx context.Context, a *attempt, err error) error {
	if errors.Is(err, http.ErrUnsent) {
		d.avoid = append(d.avoid, a.endpoint.Name())
		f := hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictNotRun, fmt.Errorf("endpoint %s: %w", a.endpoint.Name(), err))
		d.finish(a, f, 0)
		d.parts.Transport.Forget(a.endpoint.Address())
		return f.WithRetryAfter(comeBack())
	}
	return d.broken(ctx, a, err)
}

// broken ends an attempt that may have run.
func (d *dispatch) broken(ctx context.Context, a *attempt, err error) error {
	d.mayHaveRun(a.endpoint.Name())
	code := hawthornrail.CodeEndpointFailed
	if ctx.Err() != nil {
		code = hawthornrail.CodeAnswerCut
	}
	if d.left() <= 0 {
		code = hawthornrail.CodeDeadline
	}
	f := hawthornrail.NewFailure(code, hawthornrail.VerdictMayHaveRun, fmt.Errorf("endpoint %s: %w", a.endpoint.Name(), err))
	d.finish(a, f, 0)
	return f
}

// mayHaveRun counts an endpoint against the route's attempts; once they are
// used up only the same endpoint may run the request again.
func (d *dispatch) mayHaveRun(name string) {
	if !slices.Contains(d.ran, name) {
		d.ran = append(d.ran, name)
	}
	if len(d.ran) >= d.request.Route().Attempts() {
		d.repeat = name
		return
	}
	d.avoid = append(d.avoid, name)
}

// read takes the head of an answer; an endpoint that did not run the request
// is left alone for the rest of it.
func (d *dispatch) read(a *attempt) (*attempt, error) {
	h := a.exchange.Header()
	reading := d.parts.Dialect.Read(h.StatusCode(), h)
	if reading.Load {
		d.parts.Pool.Report(a.endpoint, endpoint.NewReport(reading.Waiting, reading.Running, 0, d.service.MemoryTokens()))
	}
	if reading.Leaving && d.parts.Pool.Leaves(a.endpoint) {
		d.note(events.EndpointLeaves).Str("endpoint", a.endpoint.Name()).Emit()
	}
	if !reading.NotRun && !reading.Elsewhere {
		return a, nil
	}
	d.avoid = append(d.avoid, a.endpoint.Name())
	_, _ = io.Copy(io.Discard, io.LimitReader(a.exchange, maxAnswerBytes))
	code := hawthornrail.CodeOverload
	if reading.Elsewhere {
		code = hawthornrail.CodeEndpointFailed
	}
	f := hawthornrail.NotRun(code, "endpoint %s refused with status %d", a.endpoint.Name(), h.StatusCode()).WithRetryAfter(comeBack())
	d.finish(a, f, 0)
	return nil, f
}

// finish tells the pool how an attempt ended and closes it, once.
func (d *dispatch) finish(a *attempt, err error, generated int) {
	if a.done {
		return
	}
	a.done = true
	if a.exchange != nil {
		a.exchange.Close()
	}
	usage := hawthornrail.NewUsage(uint64(d.request.Prompt().Tokens()), uint64(generated), 0)
	took := time.Duration(0)
	if !a.sent.IsZero() {
		took = d.parts.Clock.Since(a.sent)
	}
	d.parts.Forwards.Tried(d.service.Name(), a.endpoint.Name(), err, took)
	d.parts.Pool.Done(a.endpoint.Name(), a.query, err, usage, took)
}

// whole reads an answer to its end before anything of it reaches the caller.
func (d *dispatch) whole(ctx context.Context, a *attempt) (*hawthornrail.ForwardAnswer, error) {
	for {
		body, err := io.ReadAll(io.LimitReader(a.exchange, maxAnswerBytes))
		if err == nil {
			answer := hawthornrail.NewForwardAnswer(a.exchange.Status(), passedHeaders(a.exchange), body)
			d.finish(a, nil, 0)
			return answer, nil
		}
		err = d.broken(ctx, a, err)
		if !d.again(ctx, err) {
			return nil, err
		}
		if a, err = d.open(ctx); err != nil {
			return nil, err
		}
	}
}
