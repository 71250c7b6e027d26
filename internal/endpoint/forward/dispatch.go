package forward

import (
	"context"
	"errors"
	"io"
	nethttp "net/http"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/contact"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
	"hawthornrail.example/hawthornrail/internal/policy/memory"
)

const (
	statusOK = nethttp.StatusOK
	// maxUnreached is how many endpoints may refuse a connection until the request goes
	// through another VM.
	maxUnreached = 2
	// attemptShare is the fraction of the time left that an endpoint gets for a whole
	// response while another one may run the request.
	attemptShare = 0.5
)

// dispatch is the state of one request while it is sent to one or more
// endpoints.
type dispatch struct {
	deps     *Dependencies
	request  *hawthornrail.ForwardRequest
	service  hawthornrail.Service
	trail    *trail.Trail
	progress *hawthornrail.ForwardProgress
	// forOther is set for a request that another VM has sent here.
	forOther bool
	// trial is set while this is the only request of its kind that may be sent.
	trial bool
	// unreached are the endpoints to which this VM could open no connection.
	unreached []string
	// refusedBy are the VMs that did not take the request.
	refusedBy []string
	// messageReserved is set once the memory of a message to another VM is reserved.
	messageReserved bool
}

// attempt is one send of a request to one endpoint, or through another VM.
type attempt struct {
	endpoint hawthornrail.Endpoint
	query    hawthornrail.PickQuery
	exchange exchange
	sent     time.Time
	finished bool
	// pace is the pace that the endpoint reported with the response, or 0.
	pace float64
	// contact tracks whether the endpoint is reached, and ctx ends when the attempt is
	// abandoned because it is not; both are unset for an attempt through another VM.
	contact *contact.Attempt
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// timer ends the attempt in time for another endpoint to run the request; it may be nil.
	timer *time.Timer
	// indirect is set for an attempt through another VM, the helper, whose endpoint is not
	// known.
	indirect bool
	helper   hawthornrail.VM
}

// respond sends the request and returns the response, whole or as a stream.
func (d *dispatch) respond(ctx context.Context) (*hawthornrail.ForwardResponse, error) {
	a, err := d.open(ctx)
	if err != nil {
		return nil, err
	}
	if d.request.Route().Kind() == hawthornrail.StreamRoute && isEventStream(a.exchange) {
		return d.stream(ctx, a)
	}
	return d.readWhole(ctx, a)
}

// open sends the request until an endpoint responds or no further attempt is
// allowed.
func (d *dispatch) open(ctx context.Context) (*attempt, error) {
	for {
		a, err := d.try(ctx)
		if err == nil {
			err = http.CheckStatus(a.exchange.Status())
			if err == nil {
				return a, nil
			}
			err = d.failMayHaveRun(ctx, a, err)
		}
		if !d.mayRetry(ctx, err) {
			return nil, d.withEarlierRuns(err)
		}
		d.logEvent(events.ForwardRetried).Err(err).Int("sends", d.progress.Sends()).Emit()
		d.deps.Forwards.Retried()
	}
}

// mayRetry reports whether the request may be sent again after err.
func (d *dispatch) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || d.progress.Sends() >= maxSends || d.timeLeft() < minTimeLeft || errors.Is(err, memory.ErrFull) {
		return false
	}
	if d.progress.Exhausted(d.request.Route().Attempts()) {
		return false
	}
	switch hawthornrail.AsFailure(err).Code() {
	case hawthornrail.CodeNoEndpoint, hawthornrail.CodeQuarantined:
		return false
	case hawthornrail.CodeHelperRefused:
		return !d.forOther
	}
	return !d.progress.MayHaveRun() || d.request.Route().Repeatable()
}

// withEarlierRuns returns err as a failure; its verdict is "may have run" if an
// earlier send may have run, even if the last one did not.
func (d *dispatch) withEarlierRuns(err error) error {
	f := hawthornrail.AsFailure(err)
	if d.progress.MayHaveRun() && f.Verdict() == hawthornrail.VerdictNotRun {
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

// try sends the request once, directly or through another VM.
func (d *dispatch) try(ctx context.Context) (*attempt, error) {
	if d.forOther {
		return d.tryForOther(ctx)
	}
	once := !d.request.Route().Repeatable()
	route, err := d.deps.Contact.Route(ctx, d.service.Name(), d.affinity(), once, d.refusedBy)
	if err != nil {
		return nil, err
	}
	if helper, ok := route.Helper(); ok {
		return d.tryHelper(ctx, helper)
	}
	if len(d.unreached) >= maxUnreached {
		if helper, ok := d.deps.Contact.Helper(ctx, d.service.Name(), d.affinity(), d.refusedBy); ok {
			return d.tryHelper(ctx, helper)
		}
	}
	return d.tryEndpoint(ctx)
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
	d.progress.CountSend()
	a.sent = d.deps.Clock.Now()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	d.fillRequest(request, a.endpoint)
	d.logEvent(events.ForwardSent).Str("endpoint", a.endpoint.Name()).Str("service", d.service.Name()).Str("version", a.endpoint.Version()).
		Int("send", d.progress.Sends()).Millis("left_ms", d.timeLeft()).Str("after_event", d.progress.LastEvent()).Emit()
	if estimate, ok := d.deps.Pool.Estimate(a.endpoint.Name(), a.query); ok {
		d.logEvent(events.EndpointEstimated).Str("endpoint", a.endpoint.Name()).Float("speed", estimate.Speed()).Float("pace", estimate.Pace()).
			Millis("age_ms", estimate.Age()).Float("load", estimate.Load()).Emit()
	}
	d.track(ctx, a)
	response, err := d.deps.Transport.DoAccepted(a.ctx, a.endpoint.Address(), request, d.acceptResponse, a.contact)
	if err != nil {
		return nil, d.failWithoutResponse(ctx, a, err)
	}
	a.exchange = direct{response}
	return d.checkHead(a, response)
}

// track tracks whether the endpoint of an attempt is reached. Once this VM reaches none,
// the attempt is abandoned and the request sent through another VM, if it may run again
// or was not sent yet.
func (d *dispatch) track(ctx context.Context, a *attempt) {
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	abandon := func() { a.cancel(errOutOfReach) }
	a.contact = d.deps.Contact.Begin(d.service.Name(), a.endpoint.Name(), d.request.Route().Repeatable(), abandon)
	if d.leavesTimeForAnother() {
		a.timer = time.AfterFunc(time.Duration(attemptShare*float64(d.timeLeft())), func() { a.cancel(errNoResponse) })
	}
}

// leavesTimeForAnother reports whether an attempt ends before the deadline of the request. A
// stream that waits for its first event keeps its place at its endpoint.
func (d *dispatch) leavesTimeForAnother() bool {
	route := d.request.Route()
	return route.Kind() != hawthornrail.StreamRoute && route.Repeatable() && !d.request.Deadline().IsZero() &&
		d.progress.MayRunElsewhere(route.Attempts())
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
	q := hawthornrail.NewPickQuery(kind, d.service.Name(), d.request.Call().Program(), d.request.Prompt().Tokens()).
		WithParts(d.request.Prompt().Parts()).Excluding(slices.Concat(d.progress.Excluded(), d.unreached))
	if version, restricted := d.progress.Version(); restricted {
		q = q.WithVersion(version)
	}
	if next := d.progress.NextEndpoint(); next != "" {
		e, listed, err := d.deps.Pool.PickNamed(next, q)
		if err != nil {
			return nil, err
		}
		if listed {
			d.progress.SetNextEndpoint("")
			return &attempt{endpoint: e, query: q}, nil
		}
	}
	e, err := d.deps.Pool.Pick(q)
	if err != nil {
		return nil, err
	}
	return &attempt{endpoint: e, query: q}, nil
}

func (d *dispatch) fillRequest(request *fasthttp.Request, e hawthornrail.Endpoint) {
	r := d.request
	request.Header.DisableNormalizing()
	request.Header.SetMethod(r.Method())
	request.SetRequestURI(r.URI())
	request.Header.SetHost(r.Host())
	request.Header.SetNoDefaultContentType(true)
	for _, h := range d.deps.Codec.Headers(r, e, d.timeLeft(), d.progress.LastEvent()) {
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

// checkHead evaluates the head of a response; an endpoint that did not run the
// request is not tried again for it.
func (d *dispatch) checkHead(a *attempt, response *http.Exchange) (*attempt, error) {
	h := response.Header()
	reading := d.deps.Codec.Read(h.StatusCode(), h)
	if reading.Load {
		d.deps.Pool.Report(a.endpoint, endpoint.NewReport(reading.Waiting, reading.Running, 0, d.service.MemoryTokens()).WithPace(reading.Pace))
		a.pace = reading.Pace
	}
	if reading.InvalidLoad != "" {
		d.logEvent(events.LoadUnreadable).Str("endpoint", a.endpoint.Name()).Str("load", reading.InvalidLoad).Emit()
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
	d.progress.Exclude(a.endpoint.Name())
	response.Discard()
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
	learns := err == nil && d.showsSpeed(a)
	if a.exchange != nil {
		a.exchange.Close()
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.cancel != nil {
		a.cancel(nil)
	}
	if a.contact != nil {
		a.contact.End()
	}
	if a.indirect {
		d.deps.Forwards.Detoured(d.deps.Clock.Since(a.sent))
		return
	}
	usage := hawthornrail.NewUsage(uint64(d.request.Prompt().Tokens()), uint64(generated), 0)
	duration := time.Duration(0)
	if !a.sent.IsZero() {
		duration = d.deps.Clock.Since(a.sent)
	}
	d.deps.Forwards.Attempted(d.service.Name(), a.endpoint.Name(), err, duration)
	if learns {
		d.deps.Pool.Learn(a.endpoint.Name(), a.query, endpoint.NewSample(generated, a.pace, duration))
	}
	d.deps.Pool.Done(a.endpoint.Name(), a.query, err, usage, duration)
	if err == nil {
		d.deps.Quarantine.RecordCompletion(d.request.Digests())
	}
}

// showsSpeed reports whether the duration of a served attempt shows the speed of its
// endpoint. A failure is often shorter than the work, and a stream that was resumed has
// events of several endpoints.
func (d *dispatch) showsSpeed(a *attempt) bool {
	return a.pace > 0 && a.exchange != nil && a.exchange.Status() == statusOK && d.progress.LastEvent() == ""
}

// readWhole reads a response to its end before any of it reaches the caller; its body is
// held until the response is released.
func (d *dispatch) readWhole(ctx context.Context, a *attempt) (*hawthornrail.ForwardResponse, error) {
	buffer := d.deps.Buffers.Body()
	for {
		body, err := buffer.ReadAll(a.exchange)
		if err == nil && d.brokenOff(a) {
			err = io.ErrUnexpectedEOF
		}
		if err == nil {
			response := hawthornrail.NewForwardResponse(a.exchange.Status(), a.exchange.EndToEnd(), body).WithVersion(d.versionOf(a))
			d.finish(a, nil, 0)
			buffer.AwaitCaller()
			return response.WithRelease(buffer.Release), nil
		}
		buffer.Release()
		err = d.failMayHaveRun(ctx, a, err)
		if !d.mayRetry(ctx, err) {
			return nil, err
		}
		if a, err = d.open(ctx); err != nil {
			return nil, err
		}
	}
}
