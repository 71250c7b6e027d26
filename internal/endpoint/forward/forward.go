package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/contact"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/endpoint/pool"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
)

const (
	// maxSends bounds how often one request is sent, including sends that an
	// endpoint refuses.
	maxSends = 4
	// minTimeLeft is the time to the deadline below which a request is not sent.
	minTimeLeft = 5 * time.Millisecond
	// busyRetryAfter is the shortest retry delay after all endpoints refused; a
	// random part is added so that callers do not retry at the same time.
	busyRetryAfter = 150 * time.Millisecond
)

// Dependencies are the dependencies of a Forwarder.
type Dependencies struct {
	Config    hawthornrail.Configuration
	Pool      *pool.Pool
	Transport *http.Transport
	// Buffers count what is held of responses.
	Buffers  *http.Buffers
	Codec    hawthornrail.EndpointCodec
	Clock    hawthornrail.Clock
	Forwards *metrics.Forwards
	// Quarantine decides which requests are sent to endpoints.
	Quarantine hawthornrail.Quarantine
	// Origins knows which version of a service began a stream.
	Origins hawthornrail.StreamOrigins
	// Contact knows whether this VM reaches endpoints, and Detour sends requests
	// through other VMs.
	Contact *contact.Tracker
	Detour  hawthornrail.Detour
	// Log is the log of the process, for what it learns of endpoints.
	Log events.Logger
}

// Forwarder sends requests to the endpoints of their route; it implements
// hawthornrail.ForwardHandler.
type Forwarder struct {
	deps Dependencies
}

// New returns a forwarder with the given dependencies.
func New(deps Dependencies) *Forwarder { return &Forwarder{deps: deps} }

// Forward returns an endpoint's response, either whole or with a stream that
// resumes at another endpoint where the route allows it; ctx must stay valid
// until the stream has ended.
func (f *Forwarder) Forward(ctx context.Context, r *hawthornrail.ForwardRequest) (*hawthornrail.ForwardResponse, error) {
	progress := hawthornrail.NewForwardProgress(r.LastEvent())
	d := f.newDispatch(ctx, r, &progress)
	if err := f.chooseService(ctx, d); err != nil {
		return nil, err
	}
	return d.respond(ctx)
}

// ForwardFor is like Forward for a request of another VM, which has chosen its service.
// It goes to no further VM, and the other VM records the origin of its stream.
func (f *Forwarder) ForwardFor(ctx context.Context, r *hawthornrail.ForwardRequest, service string, p *hawthornrail.ForwardProgress) (*hawthornrail.ForwardResponse, error) {
	d := f.newDispatch(ctx, r, p)
	d.forOther = true
	var err error
	if d.service, err = f.lookUpService(service); err != nil {
		return nil, err
	}
	return d.respond(ctx)
}

func (f *Forwarder) newDispatch(ctx context.Context, r *hawthornrail.ForwardRequest, p *hawthornrail.ForwardProgress) *dispatch {
	return &dispatch{deps: &f.deps, request: r, trail: trail.From(ctx), progress: p}
}

// chooseService sets the service of a request; a stream that its caller takes up
// goes on at the service and version that began it.
func (f *Forwarder) chooseService(ctx context.Context, d *dispatch) (err error) {
	r := d.request
	if !r.Route().Resumable() || r.LastEvent() == "" {
		d.service, err = f.drawService(r)
		return err
	}
	origin, ok := f.deps.Origins.Find(ctx, r.Stream(), r.Route())
	d.logEvent(events.StreamTakenUp).Str("stream", r.Stream()).Bool("known", ok).Str("service", origin.Service()).Str("version", origin.Version()).Emit()
	if !ok {
		return hawthornrail.NotRun(hawthornrail.CodeStreamUnknown, "no VM knows where stream %s began", r.Stream()).WithRetryAfter(busyRetryAfter)
	}
	if !r.Route().HasTarget(origin.Service()) {
		return hawthornrail.NotRun(hawthornrail.CodeStreamUnknown, "route %s no longer leads to service %s", r.Route().Name(), origin.Service())
	}
	d.progress.KeepVersion(origin.Version())
	d.service, err = f.lookUpService(origin.Service())
	return err
}

// drawService picks one of the route's services at random by weight.
func (f *Forwarder) drawService(r *hawthornrail.ForwardRequest) (hawthornrail.Service, error) {
	targets := r.Route().Targets()
	total := 0
	for _, t := range targets {
		total += max(0, t.Weight())
	}
	if total == 0 {
		return hawthornrail.Service{}, hawthornrail.NotRun(hawthornrail.CodeNoEndpoint, "route %s has no service", r.Route().Name())
	}
	draw := rand.IntN(total)
	for _, t := range targets {
		if draw -= max(0, t.Weight()); draw < 0 {
			return f.lookUpService(t.Service())
		}
	}
	return hawthornrail.Service{}, fmt.Errorf("draw a service of route %s", r.Route().Name())
}

func (f *Forwarder) lookUpService(name string) (hawthornrail.Service, error) {
	s, ok := f.deps.Config.Snapshot().Service(name)
	if !ok {
		return s, hawthornrail.NotRun(hawthornrail.CodeNoEndpoint, "service %s is not configured", name).WithRetryAfter(busyRetryAfter)
	}
	return s, nil
}

// jitteredRetryAfter returns a random retry delay for a refused request.
func jitteredRetryAfter() time.Duration { return busyRetryAfter + rand.N(busyRetryAfter) }

func (d *dispatch) logEvent(e events.Event) *events.Line { return d.trail.Event(e) }
