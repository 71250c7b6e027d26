package metrics

import (
	"time"

	"github.com/rcrowley/go-metrics"
	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	nameForwards  = "forwards.ended"
	nameRetried   = "forwards.retried"
	nameResumed   = "forwards.resumed"
	nameCrashed   = "forwards.endpoint_crashed"
	nameOversized = "forwards.oversized"
	nameDetoured  = "forwards.detoured"
	nameDetour    = "forwards.detour_us"
	nameFirstByte = "forwards.first_byte_us"
	nameTotal     = "forwards.whole_us"
	nameRateWait  = "forwards.rate_wait_us"
	nameAttempt   = "endpoint.try_us"
	nameAttempts  = "endpoint.tries"

	outcomeFailed = "failed"
	noKind        = "none"

	// maxTeams and maxServices limit the distinct values of their labels;
	// maxEndpoints limits the endpoints that have counters at the same time.
	maxTeams     = 64
	maxServices  = 32
	maxEndpoints = 256
)

// Forwards collects the metrics of forwarded requests by their outcome.
type Forwards struct {
	registry  metrics.Registry
	retried   metrics.Counter
	resumed   metrics.Counter
	detoured  metrics.Counter
	crashed   metrics.Counter
	oversized metrics.Counter
	teams     *capped
	services  *capped
	endpoints *lru
}

// NewForwards registers the metrics of forwarded requests.
func NewForwards(registry metrics.Registry) *Forwards {
	return &Forwards{
		registry:  registry,
		retried:   metrics.NewRegisteredCounter(nameRetried, registry),
		resumed:   metrics.NewRegisteredCounter(nameResumed, registry),
		detoured:  metrics.NewRegisteredCounter(nameDetoured, registry),
		crashed:   metrics.NewRegisteredCounter(nameCrashed, registry),
		oversized: metrics.NewRegisteredCounter(nameOversized, registry),
		teams:     newCapped(maxTeams),
		services:  newCapped(maxServices),
		endpoints: newLRU(maxEndpoints),
	}
}

// Retried counts a retry of a request.
func (f *Forwards) Retried() { f.retried.Inc(1) }

// Resumed counts a stream that was resumed after an interruption.
func (f *Forwards) Resumed() { f.resumed.Inc(1) }

// Crashed counts a request whose endpoint ended while it had the request.
func (f *Forwards) Crashed() { f.crashed.Inc(1) }

// Oversized counts a response that was given up because it is too long.
func (f *Forwards) Oversized() { f.oversized.Inc(1) }

// Detoured records the duration of a request that went through another VM.
func (f *Forwards) Detoured(duration time.Duration) {
	f.detoured.Inc(1)
	f.registry.GetOrRegister(nameDetour, newHistogram).(metrics.Histogram).Update(duration.Microseconds())
}

// FirstByte records the time to the first byte of a response, by the kind of route.
func (f *Forwards) FirstByte(kind hawthornrail.RouteKind, duration time.Duration) {
	f.histogram(nameFirstByte, "kind", kindLabel(kind)).Update(duration.Microseconds())
}

// RateWaited records the time that a request waited for its team's rate limit.
func (f *Forwards) RateWaited(kind hawthornrail.RouteKind, duration time.Duration) {
	f.histogram(nameRateWait, "kind", kindLabel(kind)).Update(duration.Microseconds())
}

// Ended counts a completed request by its outcome and records its duration.
func (f *Forwards) Ended(kind hawthornrail.RouteKind, team string, err error, duration time.Duration) {
	f.histogram(nameTotal, "kind", kindLabel(kind)).Update(duration.Microseconds())
	name := Labelled(nameForwards, "kind", kindLabel(kind), "team", f.teams.value(team), "outcome", codeOf(err))
	metrics.GetOrRegisterCounter(name, f.registry).Inc(1)
}

// Attempted counts an attempt at one endpoint by its outcome and records its
// duration.
func (f *Forwards) Attempted(service, endpoint string, err error, duration time.Duration) {
	f.histogram(nameAttempt, "service", f.services.value(service)).Update(duration.Microseconds())
	if evicted := f.endpoints.touch(endpoint); evicted != "" {
		f.registry.Unregister(attemptsName(evicted, codeOK))
		f.registry.Unregister(attemptsName(evicted, outcomeFailed))
	}
	outcome := codeOK
	if err != nil {
		outcome = outcomeFailed
	}
	metrics.GetOrRegisterCounter(attemptsName(endpoint, outcome), f.registry).Inc(1)
}

func attemptsName(endpoint, outcome string) string {
	return Labelled(nameAttempts, "endpoint", endpoint, "outcome", outcome)
}

func kindLabel(kind hawthornrail.RouteKind) string {
	if kind == "" {
		return noKind
	}
	return string(kind)
}

func (f *Forwards) histogram(name, label, value string) metrics.Histogram {
	return f.registry.GetOrRegister(Labelled(name, label, value), newHistogram).(metrics.Histogram)
}
