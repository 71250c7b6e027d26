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
	statusOK         = nethttp.StatusOK
	maxResponseBytes = 32 << 20
)

// dispatch is the state of one request while it is sent to one or more
// endpoints.
type dispatch struct {
	deps      *Dependencies
	request   *hawthornrail.ForwardRequest
	service   hawthornrail.Service
	trail     *trail.Trail
	lastEvent string

	sends int
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// possibleRuns are the endpoints that may have run the request and count
	// against the route's attempts; those that have ended do not.
	possibleRuns []string
	// excluded are the endpoints that are not tried again.
	excluded []string
	// nextEndpoint is the endpoint that must be tried next, if any.
	nextEndpoint string
	// version is the only one that may go on with the stream, once versioned is set:
	// the one that wrote the events which the caller has.
	version   string
	versioned bool
	// trial is set while this is the only request of its kind that may be sent.
	trial bool
}

// attempt is one send of a request to one endpoint.
type attempt struct {
	endpoint hawthornrail.Endpoint
	query    hawthornrail.PickQuery
	exchange *http.Exchange
	sent     time.Time
	finished bool
}

// open sends the request until an endpoint responds or no further attempt is
// allowed.
func (d *dispatch) open(ctx context.Context) (*attempt, error) {
	for {
		a, err := d.tryEndpoint(ctx)
		if err == nil {
			return a, nil
		}
		if !d.mayRetry(ctx, err) {
			return nil, d.withEarlierRuns(err)
		}
		d.logEvent(events.ForwardRetried).Err(err).Int("sends", d.sends).Emit()
		d.deps.Forwards.Retried()
	}
}

// mayRetry reports whether the request may be sent again after err.
func (d *dispatch) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || d.sends >= maxSends || d.timeLeft() < minTimeLeft {
		return false
	}
	switch hawthornrail.AsFailure(err).Code() {
	case hawthornrail.CodeNoEndpoint, hawthornrail.CodeQuarantined:
		return false
	}
	return !d.mayHaveRun || d.request.Route().Repeatable()
}

// withEarlierRuns returns err as a failure; its verdict is "may have run" if an
// earlier send may have run, even if the last one did not.
func (d *dispatch) withEarlierRuns(err error) error {
	f := hawthornrail.AsFailure(err)
	if d.mayHaveRun && f.Verdict() == hawthornrail.VerdictNotRun {
		return hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictMayHaveRun, err)
	}
	return f
}

func (d *dispatch) timeLeft() time.Duration {
	if d.request.Deadline().IsZero() {
		return time.Hour
	}
	return d.request.Deadline().Sub(d.deps.Clock.Now())
}

// tryEndpoint sends the request to one endpoint and reads the head of its
// response.
func (d *dispatch) tryEndpoint(ctx context.Context) (*attempt, error) {
	if err := d.admit(ctx); err != nil {
		return nil, err
	}
	a, err := d.pick()
	if err != nil {
		return nil, err
	}
	if d.timeLeft() < minTimeLeft {
		d.finish(a, context.DeadlineExceeded, 0)
		return nil, hawthornrail.NotRun(hawthornrail.CodeDeadline, "the deadline has passed")
	}
	d.sends++
	a.sent = d.deps.Clock.Now()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	d.fillRequest(request, a.endpoint)
	d.logEvent(events.ForwardSent).Str("endpoint", a.endpoint.Name()).Str("service", d.service.Name()).Str("version", a.endpoint.Version()).
		Int("send", d.sends).Int("left_ms", int(d.timeLeft().Milliseconds())).Str("after_event", d.lastEvent).Emit()
	a.exchange, err = d.deps.Transport.DoAccepted(ctx, a.endpoint.Address(), request, d.acceptResponse)
	if err != nil {
		return nil, d.failWithoutResponse(ctx, a, err)
	}
	return d.checkHead(a)
}

// admit returns a failure if requests like this one are refused. A trial
// lasts until an endpoint may have run it.
func (d *dispatch) admit(ctx context.Context) (err error) {
	if d.trial {
		return nil
	}
	d.trial, err = d.deps.Quarantine.Admit(ctx, d.request.Digests())
	return err
}

func (d *dispatch) pick() (*attempt, error) {
	kind := hawthornrail.ServiceEndpoint
	if d.service.Engine() {
		kind = hawthornrail.EngineEndpoint
	}
	q := hawthornrail.NewPickQuery(kind, d.service.Name(), d.request.Call().Program(), d.request.Prompt().Tokens()).Excluding(d.excluded)
	if d.versioned {
		q = q.WithVersion(d.version)
	}
	if d.nextEndpoint != "" {
		if e, ok := d.deps.Config.Snapshot().Endpoint(d.nextEndpoint); ok && q.Allows(e) {
			d.nextEndpoint = ""
			return &attempt{endpoint: d.deps.Pool.RecordSent(e, q), query: q}, nil
		}
	}
	e, err := d.deps.Pool.Pick(q)
	if err != nil {
		return nil, err
	}
	return &attempt{endpoint: e, query: q}, nil
}

// keepVersion restricts the request to endpoints of a version from now on.
func (d *dispatch) keepVersion(version string) { d.version, d.versioned = version, true }

func (d *dispatch) fillRequest(request *fasthttp.Request, e hawthornrail.Endpoint) {
	r := d.request
	request.Header.DisableNormalizing()
	request.Header.SetMethod(r.Method())
	request.SetRequestURI(r.URI())
	request.Header.SetHost(r.Host())
	request.Header.SetNoDefaultContentType(true)
	for _, h := range d.deps.Codec.Headers(r, e, d.timeLeft(), d.lastEvent) {
		request.Header.Add(h.Name(), h.Value())
	}
	request.SetBodyRaw(r.Body())
}

// acceptResponse reports whether a response belongs to the request. One without an
// id may be a late copy of an earlier response if the connection was used before:
// taken for this request's, an earlier refusal would deny that it runs.
func (d *dispatch) acceptResponse(h *fasthttp.ResponseHeader, used bool) bool {
	id := d.deps.Codec.Read(h.StatusCode(), h).RequestID
	return id == d.request.ID() || id == "" && !used
}

// failWithoutResponse ends an attempt that got no response.
func (d *dispatch) failWithoutResponse(ctx context.Context, a *attempt, err error) error {
	if errors.Is(err, http.ErrUnsent) {
		d.excluded = append(d.excluded, a.endpoint.Name())
		f := hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictNotRun, fmt.Errorf("endpoint %s: %w", a.endpoint.Name(), err))
		d.finish(a, f, 0)
		d.deps.Transport.Forget(a.endpoint.Address())
		return f.WithRetryAfter(jitteredRetryAfter())
	}
	return d.failMayHaveRun(ctx, a, err)
}

// failMayHaveRun ends an attempt that may have run the request.
func (d *dispatch) failMayHaveRun(ctx context.Context, a *attempt, err error) error {
	d.mayHaveRun, d.trial = true, false
	if ctx.Err() == nil && d.crashed(a.endpoint) {
		d.recordCrash(a.endpoint, err)
	} else {
		d.addPossibleRun(a.endpoint.Name())
	}
	code := hawthornrail.CodeEndpointFailed
	if ctx.Err() != nil {
		code = hawthornrail.CodeResponseTruncated
	}
	if d.timeLeft() <= 0 {
		code = hawthornrail.CodeDeadline
	}
	f := hawthornrail.NewFailure(code, hawthornrail.VerdictMayHaveRun, fmt.Errorf("endpoint %s: %w", a.endpoint.Name(), err))
	d.finish(a, f, 0)
	return f
}

// crashed reports whether the process of an endpoint has ended without draining.
// A broken connection alone does not show that: it may have been reset, or an
// invalid response may have ended it.
func (d *dispatch) crashed(e hawthornrail.Endpoint) bool {
	listed, ok := d.deps.Config.Snapshot().Endpoint(e.Name())
	if !ok || listed.Draining() || d.deps.Pool.Draining(e) {
		return false
	}
	return d.deps.Transport.Refused(e.Address())
}

// brokenOff reports whether a response that ends with its connection may be
// incomplete: its endpoint has crashed.
func (d *dispatch) brokenOff(a *attempt) bool {
	return !a.exchange.Framed() && d.crashed(a.endpoint)
}

// recordCrash records that an endpoint has ended while it had the request.
func (d *dispatch) recordCrash(e hawthornrail.Endpoint, err error) {
	digests, team := d.request.Digests(), d.request.Deployment().Team()
	d.excluded = append(d.excluded, e.Name())
	d.deps.Forwards.Crashed()
	d.deps.Log.Event(events.EndpointCrashed).Str("endpoint", e.Name()).Str("request", d.request.ID()).
		Str("content", digests.Content().String()).Str("resource", digests.Resource().String()).Str("team", team).Err(err).Emit()
	d.deps.Quarantine.RecordCrash(digests, team, e.Name())
}

// addPossibleRun counts an endpoint against the route's attempts; once they are
// used up, only the same endpoint may run the request again.
func (d *dispatch) addPossibleRun(name string) {
	if !slices.Contains(d.possibleRuns, name) {
		d.possibleRuns = append(d.possibleRuns, name)
	}
	if len(d.possibleRuns) >= d.request.Route().Attempts() {
		d.nextEndpoint = name
		return
	}
	d.excluded = append(d.excluded, name)
}

// checkHead evaluates the head of a response; an endpoint that did not run the
// request is not tried again for it.
func (d *dispatch) checkHead(a *attempt) (*attempt, error) {
	h := a.exchange.Header()
	reading := d.deps.Codec.Read(h.StatusCode(), h)
	if reading.Load {
		d.deps.Pool.Report(a.endpoint, endpoint.NewReport(reading.Waiting, reading.Running, 0, d.service.MemoryTokens()))
	}
	if reading.Draining && d.deps.Pool.MarkDraining(a.endpoint) {
		d.logEvent(events.EndpointDraining).Str("endpoint", a.endpoint.Name()).Emit()
	}
	if d.deps.Pool.SetRateLimit(a.endpoint, reading.RateLimit) {
		d.deps.Log.Event(events.EndpointLimited).Str("endpoint", a.endpoint.Name()).Str("request", d.request.ID()).Float("per_second", reading.RateLimit).Emit()
	}
	if !reading.NotRun && !reading.WrongInstance {
		return a, nil
	}
	d.excluded = append(d.excluded, a.endpoint.Name())
	_, _ = io.Copy(io.Discard, io.LimitReader(a.exchange, maxResponseBytes))
	code := hawthornrail.CodeOverload
	if reading.WrongInstance {
		code = hawthornrail.CodeEndpointFailed
	}
	f := hawthornrail.NotRun(code, "endpoint %s refused with status %d", a.endpoint.Name(), h.StatusCode()).WithRetryAfter(jitteredRetryAfter())
	d.finish(a, f, 0)
	return nil, f
}

// finish reports the result of an attempt to the pool and closes the attempt;
// further calls do nothing.
func (d *dispatch) finish(a *attempt, err error, generated int) {
	if a.finished {
		return
	}
	a.finished = true
	if a.exchange != nil {
		a.exchange.Close()
	}
	usage := hawthornrail.NewUsage(uint64(d.request.Prompt().Tokens()), uint64(generated), 0)
	duration := time.Duration(0)
	if !a.sent.IsZero() {
		duration = d.deps.Clock.Since(a.sent)
	}
	d.deps.Forwards.Attempted(d.service.Name(), a.endpoint.Name(), err, duration)
	d.deps.Pool.Done(a.endpoint.Name(), a.query, err, usage, duration)
	if err == nil {
		d.deps.Quarantine.RecordCompletion(d.request.Digests())
	}
}

// readWhole reads a response to its end before any of it reaches the caller.
func (d *dispatch) readWhole(ctx context.Context, a *attempt) (*hawthornrail.ForwardResponse, error) {
	for {
		body, err := io.ReadAll(io.LimitReader(a.exchange, maxResponseBytes))
		if err == nil && d.brokenOff(a) {
			err = io.ErrUnexpectedEOF
		}
		if err == nil {
			response := hawthornrail.NewForwardResponse(a.exchange.Status(), endToEndHeaders(a.exchange), body)
			d.finish(a, nil, 0)
			return response, nil
		}
		err = d.failMayHaveRun(ctx, a, err)
		if !d.mayRetry(ctx, err) {
			return nil, err
		}
		if a, err = d.open(ctx); err != nil {
			return nil, err
		}
	}
}
