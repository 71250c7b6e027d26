package forward

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/policy/overload"
)

// enter refuses the request if the endpoints of its service are overloaded, and counts
// it as in flight otherwise.
func (d *dispatch) enter() error {
	decision := d.deps.Admission.Admit(d.service.Name(), d.admissionRequest())
	if decision.Informed() {
		d.deps.Forwards.LoadDecided(decision.Admitted())
		d.logEvent(events.LoadDecided).Str("service", d.service.Name()).Bool("admitted", decision.Admitted()).Bool("started", d.started()).
			Float("load", decision.Load()).Int("age_ms", int(decision.Age().Milliseconds())).Float("slowdown", decision.Slowdown()).
			Float("balance_s", decision.Balance()).Int("in_flight", decision.InFlight()).Float("limit", decision.Limit()).Emit()
	}
	if !decision.Admitted() {
		return hawthornrail.NotRun(hawthornrail.CodeOverload, "the endpoints of service %s are overloaded", d.service.Name()).WithRetryAfter(decision.RetryAfter())
	}
	d.entered = d.deps.Clock.Now()
	return nil
}

// leave records the end of an admitted request; further calls do nothing.
func (d *dispatch) leave(err error) {
	if d.entered.IsZero() {
		return
	}
	took := d.deps.Clock.Since(d.entered)
	d.entered = time.Time{}
	d.deps.Admission.Done(d.service.Name(), err == nil, took)
}

func (d *dispatch) admissionRequest() overload.Request {
	route, team := d.request.Route(), d.request.Deployment()
	return overload.NewRequest(team.Team(), route.Name(), overload.Priority(team.Priority(), route.Priority()), d.started(), route.Objective())
}

// started reports whether the request goes on with what has run already: a program,
// a conversation or a stream.
func (d *dispatch) started() bool {
	call := d.request.Call()
	return d.request.LastEvent() != "" || call.Parent() != "" || call.Program() != "" && !d.request.FirstOfProgram()
}
