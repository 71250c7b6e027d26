package forward

import (
	"context"
	"errors"
	"fmt"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

// errOutOfReach is the cause of an attempt that is abandoned because this VM reaches no
// endpoint of the service.
var errOutOfReach = errors.New("service is out of reach of this VM")

// errNoResponse is the cause of an attempt that is given up so that another endpoint can run
// the request before its deadline.
var errNoResponse = errors.New("no response in time; another endpoint may run the request")

// overdue reports whether the attempt was given up because its endpoint takes too long. That
// shows neither a crash nor a lost connection.
func (a *attempt) overdue() bool {
	return a.ctx != nil && errors.Is(context.Cause(a.ctx), errNoResponse)
}

// abandoned reports whether the attempt was given up because this VM reaches no
// endpoint of the service.
func (a *attempt) abandoned() bool {
	return a.ctx != nil && errors.Is(context.Cause(a.ctx), errOutOfReach)
}

// lostEndpoint reports whether an attempt without a response shows that its endpoint was
// lost: neither its request was cancelled nor the attempt given up.
func (a *attempt) lostEndpoint(ctx context.Context) bool {
	return ctx.Err() == nil && !a.abandoned() && !a.overdue()
}

// failWithoutResponse ends an attempt that got no response.
func (d *dispatch) failWithoutResponse(ctx context.Context, a *attempt, err error) error {
	if !errors.Is(err, http.ErrUnsent) {
		return d.failMayHaveRun(ctx, a, err)
	}
	if !a.abandoned() {
		d.unreached = append(d.unreached, a.endpoint.Name())
	}
	f := hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictNotRun, fmt.Errorf("endpoint %s: %w", a.endpoint.Name(), err))
	d.recordLoss(ctx, a)
	d.finish(a, f, 0)
	d.deps.Transport.Forget(a.endpoint.Address())
	return f.WithRetryAfter(jitteredRetryAfter())
}

// recordLoss records that the endpoint of an attempt was lost, if the attempt shows it.
func (d *dispatch) recordLoss(ctx context.Context, a *attempt) {
	if a.lostEndpoint(ctx) {
		d.deps.Contact.Lost(d.service.Name(), a.endpoint.Name())
	}
}

// failMayHaveRun ends an attempt that may have run the request.
func (d *dispatch) failMayHaveRun(ctx context.Context, a *attempt, err error) error {
	d.progress.SetMayHaveRun()
	d.trial = false
	// An endpoint that sent too much or an invalid head is neither lost nor crashed.
	responded := d.recordOversized(a, err) || errors.Is(err, http.ErrInvalidHead)
	if a.indirect {
		d.finish(a, err, 0)
		return d.failResponse(a, err)
	}
	if !responded {
		d.recordLoss(ctx, a)
	}
	brokenOff := !responded && a.lostEndpoint(ctx)
	if brokenOff && d.crashed(ctx, a.endpoint) {
		d.recordCrash(a.endpoint, err)
	} else {
		d.progress.AddPossibleRun(a.endpoint.Name(), d.request.Route().Attempts())
		if brokenOff {
			d.recordUnexplained(a.endpoint)
		}
	}
	f := hawthornrail.NewFailure(d.lossCode(ctx, a, err), hawthornrail.VerdictMayHaveRun, fmt.Errorf("endpoint %s: %w", a.endpoint.Name(), err))
	d.finish(a, f, 0)
	return f
}

// lossCode returns the code of an attempt that ended without a whole response. One that
// was abandoned, or that found the buffers full, says nothing about its endpoint.
func (d *dispatch) lossCode(ctx context.Context, a *attempt, err error) hawthornrail.Code {
	switch {
	case d.timeLeft() <= 0:
		return hawthornrail.CodeDeadline
	case ctx.Err() != nil || a.abandoned() || errors.Is(err, http.ErrBuffersFull):
		return hawthornrail.CodeResponseTruncated
	default:
		return hawthornrail.CodeEndpointFailed
	}
}

// crashed reports whether the process of an endpoint has ended without draining.
// Neither a broken connection nor a refused one shows that alone: this VM may have lost
// the path to all endpoints.
func (d *dispatch) crashed(ctx context.Context, e hawthornrail.Endpoint) bool {
	return d.gone(e) && d.deps.Contact.ReachesOther(ctx, d.service.Name(), e.Name())
}

// gone reports whether an endpoint that is not draining refuses connections.
func (d *dispatch) gone(e hawthornrail.Endpoint) bool {
	return d.inService(e) && d.deps.Transport.Refused(e.Address())
}

// inService reports whether an endpoint is listed and not draining.
func (d *dispatch) inService(e hawthornrail.Endpoint) bool {
	listed, ok := d.deps.Config.Snapshot().Endpoint(e.Name())
	return ok && !listed.Draining() && !d.deps.Pool.Draining(e)
}

// recordUnexplained records that an endpoint broke off the request, whether it has crashed
// or not: it may be back already, or this VM may reach no other one that shows which.
func (d *dispatch) recordUnexplained(e hawthornrail.Endpoint) {
	if d.inService(e) {
		d.deps.Quarantine.RecordLoss(d.request.Digests(), d.request.Deployment().Team(), e.Name())
	}
}

// brokenOff reports whether a response that ends with its connection may be
// incomplete: its endpoint refuses connections.
func (d *dispatch) brokenOff(a *attempt) bool {
	return !a.exchange.Framed() && d.gone(a.endpoint)
}

// recordOversized reports whether a response was given up because it is too long, or
// because all responses hold too much, and records that.
func (d *dispatch) recordOversized(a *attempt, err error) bool {
	if !errors.Is(err, http.ErrOversized) && !errors.Is(err, http.ErrBuffersFull) {
		return false
	}
	d.deps.Forwards.Oversized()
	d.deps.Log.Event(events.ResponseOversized).Str("endpoint", a.endpoint.Name()).Str("helper", a.helper.Name()).
		Str("request", d.request.ID()).Int("held_bytes", int(d.deps.Buffers.Held())).Err(err).Emit()
	return true
}

// recordCrash records that an endpoint has ended while it had the request.
func (d *dispatch) recordCrash(e hawthornrail.Endpoint, err error) {
	digests, team := d.request.Digests(), d.request.Deployment().Team()
	d.progress.Exclude(e.Name())
	d.deps.Forwards.Crashed()
	d.deps.Log.Event(events.EndpointCrashed).Str("endpoint", e.Name()).Str("request", d.request.ID()).
		Str("content", digests.Content().String()).Str("resource", digests.Resource().String()).Str("team", team).Err(err).Emit()
	d.deps.Quarantine.RecordCrash(digests, team, e.Name())
}
