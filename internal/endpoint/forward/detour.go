package forward

import (
	"context"
	"errors"
	"fmt"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

// tryHelper sends the request through another VM.
func (d *dispatch) tryHelper(ctx context.Context, helper hawthornrail.VM) (*attempt, error) {
	if err := d.reserveMessage(); err != nil {
		return nil, err
	}
	a := &attempt{indirect: true, helper: helper, sent: d.deps.Clock.Now()}
	d.logEvent(events.ForwardDetoured).Str("through", helper.Name()).Str("service", d.service.Name()).
		Int("send", d.progress.Sends()+1).Millis("left_ms", d.timeLeft()).Str("after_event", d.progress.LastEvent()).Emit()
	response, err := d.deps.Detour.Open(ctx, helper, d.service.Name(), d.request, d.progress)
	if err != nil {
		return nil, d.failIndirect(helper, err)
	}
	a.exchange = detoured{response}
	return a, nil
}

// reserveMessage reserves the bytes of the message to another VM, which holds a copy of
// the body.
func (d *dispatch) reserveMessage() error {
	if d.messageReserved {
		return nil
	}
	if err := d.request.Reserve(len(d.request.Body())); err != nil {
		return err
	}
	d.messageReserved = true
	return nil
}

// tryForOther sends the request of another VM. That one has to find a further VM if this
// one reaches no endpoint either, or opens no connection to any.
func (d *dispatch) tryForOther(ctx context.Context) (*attempt, error) {
	if len(d.unreached) >= maxUnreached || d.deps.Contact.CutOff(d.service.Name()) {
		err := fmt.Errorf("%w: no endpoint of service %s is reached", hawthornrail.ErrHelperRefused, d.service.Name())
		return nil, hawthornrail.NewFailure(hawthornrail.CodeHelperRefused, hawthornrail.VerdictNotRun, err)
	}
	return d.tryEndpoint(ctx)
}

// failIndirect returns the failure of an attempt through another VM. One that did not
// take the request, or was lost, is not tried again for it.
func (d *dispatch) failIndirect(helper hawthornrail.VM, err error) error {
	if errors.Is(err, hawthornrail.ErrHelperRefused) || errors.Is(err, hawthornrail.ErrHelperLost) {
		d.refusedBy = append(d.refusedBy, helper.Name())
		d.deps.Contact.HelperFailed(d.service.Name(), helper)
	}
	f := hawthornrail.AsFailure(err)
	if f.RetryAfter() <= 0 && f.Verdict() == hawthornrail.VerdictNotRun {
		f = f.WithRetryAfter(jitteredRetryAfter())
	}
	return f
}

// failResponse returns the failure of a response through another VM. What that VM has
// not judged itself, such as an event that belongs to no stream, names no endpoint.
func (d *dispatch) failResponse(a *attempt, err error) error {
	var f *hawthornrail.Failure
	if errors.As(err, &f) {
		return d.failIndirect(a.helper, f)
	}
	d.progress.AddUnknownRun()
	return hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictMayHaveRun, fmt.Errorf("through another VM: %w", err))
}

// affinity returns what the requests that share a prompt have in common.
func (d *dispatch) affinity() string {
	if program := d.request.Call().Program(); program != "" {
		return program
	}
	return d.request.ID()
}

// versionOf returns the version of the software that an attempt is at.
func (d *dispatch) versionOf(a *attempt) string {
	if response, ok := a.exchange.(detoured); ok {
		return response.Version()
	}
	return a.endpoint.Version()
}
