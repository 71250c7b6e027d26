package filter

import (
	"context"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
)

// Observe counts requests and their results; it is the first filter.
type Observe struct {
	clock    hawthornrail.Clock
	requests *metrics.Requests
}

// NewObserve returns the filter that updates the given counters.
func NewObserve(clock hawthornrail.Clock, requests *metrics.Requests) *Observe {
	return &Observe{clock: clock, requests: requests}
}

// Filter counts the request and its result, and measures its duration.
func (f *Observe) Filter(ctx context.Context, r *hawthornrail.Request, w hawthornrail.ResponseWriter, next hawthornrail.Handler) error {
	start := f.clock.Now()
	f.requests.Begin()
	err := next.Serve(ctx, r, w)
	f.requests.End(err, f.clock.Since(start))
	return err
}
