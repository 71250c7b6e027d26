package metrics

import (
	"time"

	"github.com/rcrowley/go-metrics"
	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	nameForwards = "forwards."
	nameRetried  = "forwards.retried"
	nameResumed  = "forwards.resumed"
	nameFirst    = "forwards.first_byte_us"
	nameWhole    = "forwards.whole_us"
)

// Forwards counts forwarded requests by what became of them.
type Forwards struct {
	registry metrics.Registry
	retried  metrics.Counter
	resumed  metrics.Counter
	first    metrics.Histogram
	whole    metrics.Histogram
}

// NewForwards registers the counters of forwarded requests.
func NewForwards(registry metrics.Registry) *Forwards {
	f := &Forwards{
		registry: registry,
		retried:  metrics.NewRegisteredCounter(nameRetried, registry),
		resumed:  metrics.NewRegisteredCounter(nameResumed, registry),
		first:    metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirBias)),
		whole:    metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirBias)),
	}
	_ = registry.Register(nameFirst, f.first)
	_ = registry.Register(nameWhole, f.whole)
	return f
}

// Retried counts a request that is sent again.
func (f *Forwards) Retried() { f.retried.Inc(1) }

// Resumed counts a stream that goes on after it broke off.
func (f *Forwards) Resumed() { f.resumed.Inc(1) }

// First counts the time until an answer's first byte.
func (f *Forwards) First(took time.Duration) { f.first.Update(took.Microseconds()) }

// Ended counts how a request ended and how long it took.
func (f *Forwards) Ended(err error, took time.Duration) {
	f.whole.Update(took.Microseconds())
	code := codeOK
	if err != nil {
		code = string(hawthornrail.AsFailure(err).Code())
	}
	metrics.GetOrRegisterCounter(nameForwards+code, f.registry).Inc(1)
}
