package endpoint

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Report is an endpoint's own account of its load.
type Report struct {
	waiting       int
	running       int
	cachedTokens  int
	cacheCapacity int
}

// NewReport returns a report of waiting and running requests, of the tokens
// held in the prefix cache and of its size, or 0 where that is not known.
func NewReport(waiting, running, cachedTokens, cacheCapacity int) Report {
	return Report{waiting: waiting, running: running, cachedTokens: cachedTokens, cacheCapacity: cacheCapacity}
}

// state is what this VM knows of one endpoint.
type state struct {
	endpoint    hawthornrail.Endpoint
	slots       int
	inFlight    int
	ownAtReport int
	report      Report
	reported    time.Time
	freshTokens int
	failures    int
	retryAt     time.Time
	probing     bool
	silent      bool
	service     average
}

// average is an exponentially weighted mean.
type average struct {
	value float64
	set   bool
}

const averageGain = 0.1

func (a *average) add(v float64) {
	if !a.set {
		a.value, a.set = v, true
		return
	}
	a.value += averageGain * (v - a.value)
}

// confidence is how far the report is to be believed: it halves with age.
func (s *state) confidence(now time.Time, halfLife time.Duration) float64 {
	if s.reported.IsZero() {
		return 0
	}
	return 1 / (1 + now.Sub(s.reported).Seconds()/halfLife.Seconds())
}

// others is the number of other VMs' requests at the time of the report.
func (s *state) others() int {
	return max(0, s.report.waiting+s.report.running-s.ownAtReport)
}

// out reports whether the endpoint may not be chosen now.
func (s *state) out(now time.Time) bool {
	if s.endpoint.Leaving() {
		return true
	}
	return s.failures > 0 && (s.probing || now.Before(s.retryAt))
}

// freeMemory is the room in the cache, less what this VM has sent since the
// report; it is large while the size is not known.
func (s *state) freeMemory(share float64) int {
	if s.report.cacheCapacity == 0 {
		return unknownMemory
	}
	return int(share*float64(s.report.cacheCapacity)) - s.report.cachedTokens - s.freshTokens
}

const unknownMemory = 1 << 30
