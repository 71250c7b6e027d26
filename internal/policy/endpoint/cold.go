package endpoint

import (
	"time"

	"github.com/cespare/xxhash/v2"
	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// coldShare is the fraction of a cold endpoint's rate that the time slots of all VMs
	// make up. In one second the time slots of two may be used, because each lasts for
	// timeSlotLifetime. What is left to the bound of 1.5 times the rate allows for VMs
	// whose clocks or lists of VMs differ, and whose time slots are spaced less evenly.
	coldShare = 0.5
	// rampStep is the time after which the rate of an endpoint that has become warm
	// doubles, and rampSteps is how often it does so before the limit ends. The rate is
	// constant within a step, because a VM's time slots move with it.
	rampStep  = 500 * time.Millisecond
	rampSteps = 4
	// maxClockDifference is by how much the clock of an endpoint may differ from that of
	// a VM. Only an endpoint that started longer ago is taken for warm by its start.
	maxClockDifference = 10 * time.Second
	// goldenRatio spreads the time slots of VMs that are neighbours in the list.
	goldenRatio = 0.618
	// maxShift bounds the shift of time slots; it far exceeds the number of VMs.
	maxShift = 1 << 20
)

// interleaved returns the position at a cold endpoint of the VM at an index among count
// VMs. Neighbours are far apart, so that the VMs with one of two different lists, which
// are often neighbours, do not all have their time slots at the same time.
func interleaved(index, count int) int {
	stride := max(1, int(goldenRatio*float64(count)))
	for greatestCommonDivisor(stride, count) != 1 {
		stride++
	}
	return index * stride % count
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// coldPhase is the time in which an endpoint accepts few requests because it is cold; the
// zero value is that of an endpoint that is not.
type coldPhase struct {
	// perSecond is the rate that the endpoint accepts from all VMs until warmAt.
	perSecond float64
	warmAt    time.Time
	// shift moves the time slots at the endpoint, so that a VM does not have those at all
	// cold endpoints at the same time.
	shift int
}

// shiftOf returns the shift of the time slots at an endpoint, which is the same at all
// VMs.
func shiftOf(name string) int { return int(xxhash.Sum64String(name) % maxShift) }

// isCold reports whether the endpoint is cold.
func (c coldPhase) isCold(now time.Time) bool { return c.perSecond > 0 && now.Before(c.warmAt) }

// rate returns the rate that all VMs together may send, or 0 if there is no limit. After
// the end of the cold time it rises in steps, so that an endpoint without load does not
// get the requests of all VMs at once.
func (c coldPhase) rate(now time.Time) float64 {
	switch {
	case c.perSecond <= 0:
		return 0
	case now.Before(c.warmAt):
		return coldShare * c.perSecond
	}
	// The difference is compared first, because it saturates for a warmAt that is unset.
	since := now.Sub(c.warmAt)
	if since >= rampSteps*rampStep {
		return 0
	}
	return coldShare * c.perSecond * float64(int(2)<<int(since/rampStep))
}

// Conditions are what the configuration says of all endpoints of a service, as known at a
// time.
type Conditions struct {
	at            time.Time
	evacuations   hawthornrail.Evacuations
	coldStart     time.Duration
	coldPerSecond float64
}

// NewConditions returns the conditions at a time with the evacuations of data centres,
// for endpoints that are never cold.
func NewConditions(evacuations hawthornrail.Evacuations, at time.Time) Conditions {
	return Conditions{at: at, evacuations: evacuations}
}

// WithColdStart returns a copy for endpoints that are cold for duration after their start
// and then accept perSecond requests a second from all VMs together.
func (c Conditions) WithColdStart(duration time.Duration, perSecond float64) Conditions {
	c.coldStart, c.coldPerSecond = duration, perSecond
	return c
}

// warmAt returns when an endpoint is warm; current is when it was known to be so
// before, and previous is its earlier entry, if it was listed before.
func (c Conditions) warmAt(e hawthornrail.Endpoint, current time.Time, previous hawthornrail.EndpointEntry, listed bool) time.Time {
	entry := e.Entry()
	left, stated := entry.ColdLeft()
	if !listed || entry != previous {
		switch {
		case stated && left > 0:
			current = c.at.Add(left)
		case stated && current.After(c.at):
			current = c.at
		case !stated && !listed && c.mayHaveStarted(entry):
			current = c.at.Add(c.coldStart)
		}
	}
	// The endpoint may have become cold just before the withdrawal, which only an entry
	// that was written since rules out.
	w, withdrawn := c.evacuations.Withdrawn(e.DataCentre())
	if warmSince := stated && left == 0 && entry.Revision() > w.Revision(); withdrawn && !warmSince {
		if end := w.At().Add(c.coldStart); end.After(current) {
			current = end
		}
	}
	return current
}

// mayHaveStarted reports whether an endpoint may have started so recently that it is
// cold. A VM that starts itself lists all endpoints for the first time.
func (c Conditions) mayHaveStarted(entry hawthornrail.EndpointEntry) bool {
	return entry.Started().IsZero() || c.at.Sub(entry.Started()) < c.coldStart+maxClockDifference
}

// SetConditions sets what the configuration says of all endpoints; it applies from the
// next call of Set on.
func (t *Table) SetConditions(c Conditions) { t.conditions = c }

// updateCold determines when an endpoint is cold, after its entry was set.
func (t *Table) updateCold(s *endpointState, previous hawthornrail.EndpointEntry, listed bool) {
	c := t.conditions
	if c.coldPerSecond <= 0 {
		s.limit.cold = coldPhase{}
		return
	}
	warmAt := c.warmAt(s.endpoint, s.limit.cold.warmAt, previous, listed)
	s.limit.setCold(coldPhase{perSecond: c.coldPerSecond, warmAt: warmAt, shift: shiftOf(s.endpoint.Name())}, c.at)
}
