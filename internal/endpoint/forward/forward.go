package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/endpoint/pool"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
)

const (
	// maxSends bounds how often one request is sent, refused sends included.
	maxSends = 4
	// minLeft is the time until the deadline below which sending is in vain.
	minLeft = 5 * time.Millisecond
	// busyRetryAfter is when to come back after every endpoint refused; it is
	// spread so that callers do not return together.
	busyRetryAfter = 150 * time.Millisecond
)

// Parts are what a Forwarder works with.
type Parts struct {
	Config    hawthornrail.Configuration
	Pool      *pool.Pool
	Transport *http.Transport
	Dialect   hawthornrail.EndpointDialect
	Clock     hawthornrail.Clock
	Forwards  *metrics.Forwards
}

// Forwarder sends requests to the endpoints of their route; it implements
// hawthornrail.ForwardHandler.
type Forwarder struct {
	parts Parts
}

// New returns a forwarder over its parts.
func New(parts Parts) *Forwarder { return &Forwarder{parts: parts} }

// Forward returns an endpoint's answer, whole or with a stream that resumes at
// another endpoint where the route allows it; ctx must live as long as the
// stream.
func (f *Forwarder) Forward(ctx context.Context, r *hawthornrail.ForwardRequest) (*hawthornrail.ForwardAnswer, error) {
	service, err := f.service(r)
	if err != nil {
		return nil, err
	}
	d := &dispatch{parts: &f.parts, request: r, service: service, trail: trail.From(ctx), lastEvent: r.LastEvent()}
	a, err := d.open(ctx)
	if err != nil {
		return nil, err
	}
	if r.Route().Kind() == hawthornrail.StreamRoute && a.exchange.Status() == statusOK {
		return d.stream(ctx, a)
	}
	return d.whole(ctx, a)
}

// service draws one of the route's services by weight.
func (f *Forwarder) service(r *hawthornrail.ForwardRequest) (hawthornrail.Service, error) {
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
			return f.known(t.Service())
		}
	}
	return hawthornrail.Service{}, fmt.Errorf("draw a service of route %s", r.Route().Name())
}

func (f *Forwarder) known(name string) (hawthornrail.Service, error) {
	s, ok := f.parts.Config.Snapshot().Service(name)
	if !ok {
		return s, hawthornrail.NotRun(hawthornrail.CodeNoEndpoint, "service %s is not configured", name).WithRetryAfter(busyRetryAfter)
	}
	return s, nil
}

// comeBack spreads the time at which refused callers return.
func comeBack() time.Duration { return busyRetryAfter + rand.N(busyRetryAfter) }

func (d *dispatch) note(e events.Event) *events.Line { return d.trail.Note(e) }
