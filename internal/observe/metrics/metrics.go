package metrics

import (
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	nameRequests  = "requests.total"
	nameLatency   = "requests.latency"
	nameInFlight  = "requests.under_way"
	nameCode      = "requests.code."
	nameVerdict   = "requests.verdict."
	codeOK        = "ok"
	reservoirSize = 1028
	reservoirBias = 0.015
)

// Requests collects the metrics of callers' requests by their outcome.
type Requests struct {
	registry metrics.Registry
	total    metrics.Counter
	inFlight metrics.Counter
	latency  metrics.Histogram
}

// NewRequests registers the metrics of callers' requests.
func NewRequests(registry metrics.Registry) *Requests {
	r := &Requests{
		registry: registry,
		total:    metrics.NewCounter(),
		inFlight: metrics.NewCounter(),
		latency:  newHistogram(),
	}
	_ = registry.Register(nameRequests, r.total)
	_ = registry.Register(nameInFlight, r.inFlight)
	_ = registry.Register(nameLatency, r.latency)
	return r
}

// Begin counts a request that has arrived.
func (r *Requests) Begin() {
	r.total.Inc(1)
	r.inFlight.Inc(1)
}

// End counts the outcome of a request and records its duration in microseconds.
func (r *Requests) End(err error, duration time.Duration) {
	r.inFlight.Dec(1)
	r.latency.Update(duration.Microseconds())
	metrics.GetOrRegisterCounter(nameCode+codeOf(err), r.registry).Inc(1)
	metrics.GetOrRegisterCounter(nameVerdict+hawthornrail.VerdictOf(err).String(), r.registry).Inc(1)
}

// codeOf returns the failure code of err, or codeOK if err is nil.
func codeOf(err error) string {
	if err == nil {
		return codeOK
	}
	return string(hawthornrail.AsFailure(err).Code())
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirBias))
}

// Gauge registers a gauge whose value function is called when the metrics are
// read.
func Gauge(registry metrics.Registry, name string, value func() int64) {
	_ = registry.Register(name, metrics.NewFunctionalGauge(value))
}

// Names returns the sorted names of the metrics in a registry.
func Names(registry metrics.Registry) []string {
	names := make(map[string]bool)
	registry.Each(func(name string, _ any) { names[name] = true })
	return slices.Sorted(maps.Keys(names))
}
