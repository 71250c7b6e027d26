package endpoint

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Report is a load report of an endpoint.
type Report struct {
	waiting       int
	running       int
	cachedTokens  int
	cacheCapacity int
	// pace is 0 if none is reported.
	pace float64
}

// NewReport returns a report of waiting and running requests, of the tokens in
// the prefix cache and of the cache's capacity in tokens, or 0 where a value is
// not known.
func NewReport(waiting, running, cachedTokens, cacheCapacity int) Report {
	return Report{waiting: waiting, running: running, cachedTokens: cachedTokens, cacheCapacity: cacheCapacity}
}

// WithPace returns a copy with the factor by which work takes longer than usual at
// the endpoint now, or 0 if it reports none.
func (r Report) WithPace(pace float64) Report {
	r.pace = pace
	return r
}

// endpointState is this VM's state of one endpoint.
type endpointState struct {
	endpoint hawthornrail.Endpoint
	// evacuated is set while the data centre of the endpoint is evacuated.
	evacuated bool
	slots     int
	// inFlight is the number of this VM's requests at the endpoint, and
	// inFlightAtReport its value at the time of the report.
	inFlight         int
	inFlightAtReport int
	// connections is the largest number of this VM's requests in flight, for which
	// connections are kept; it starts anew after a failure.
	connections int
	report      Report
	reportedAt  time.Time
	// tokensSinceReport are the prompt tokens that programs without a hint for
	// the endpoint are assumed to have added since the report, from all VMs.
	tokensSinceReport int
	failures          int
	retryAt           time.Time
	// probing is set while one request tests a failed endpoint.
	probing bool
	// unresponsive is set if the endpoint did not reply to a load request.
	unresponsive bool
	serviceTime  average
	speed        speed
	others       usualLoad
	limit        rateLimit
}

// average is an exponentially weighted moving average.
type average struct {
	value float64
	set   bool
}

const averageGain = 0.1

func (a *average) update(v float64) {
	if !a.set {
		a.value, a.set = v, true
		return
	}
	a.value += averageGain * (v - a.value)
}

// confidence is the weight of the report, from 0 to 1. It is one half at the age
// of halfLife.
func (s *endpointState) confidence(now time.Time, halfLife time.Duration) float64 {
	if s.reportedAt.IsZero() {
		return 0
	}
	return 1 / (1 + now.Sub(s.reportedAt).Seconds()/halfLife.Seconds())
}

// otherRequests is the number of other VMs' requests at the time of the report.
func (s *endpointState) otherRequests() int {
	return max(0, s.report.waiting+s.report.running-s.inFlightAtReport)
}

// unavailable reports whether the endpoint is draining or waits for its retry
// time or for the result of a probe.
func (s *endpointState) unavailable(now time.Time) bool {
	if s.endpoint.Draining() {
		return true
	}
	return s.failures > 0 && (s.probing || now.Before(s.retryAt))
}

// freeCacheTokens is the free part of the given share of the cache, less the
// tokens sent since the report. It is unknownCacheTokens while the capacity is
// not known.
func (s *endpointState) freeCacheTokens(share float64) int {
	if s.report.cacheCapacity == 0 {
		return unknownCacheTokens
	}
	return int(share*float64(s.report.cacheCapacity)) - s.report.cachedTokens - s.tokensSinceReport
}

const unknownCacheTokens = 1 << 30
