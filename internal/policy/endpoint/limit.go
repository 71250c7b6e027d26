package endpoint

import "time"

const (
	// timeSlotLifetime is how long after its time a time slot may still be used. It
	// bounds how many unused time slots of all VMs can be used at once.
	timeSlotLifetime = time.Second
	// minPeriod bounds the time between two time slots of a VM from below.
	minPeriod = time.Microsecond
	// maxUnlisted is the maximum number of limits that are kept of endpoints that are
	// not listed.
	maxUnlisted = 4096
)

// TimeSlots is the position of a VM among the VMs that send to the same endpoints,
// in the order in which they get time slots.
type TimeSlots struct {
	index int
	count int
	// coldIndex is the position for endpoints that are cold.
	coldIndex int
}

// NewTimeSlots returns the position of the VM at an index, from 0, among count VMs.
func NewTimeSlots(index, count int) TimeSlots {
	count = max(1, count)
	return TimeSlots{index: index, count: count, coldIndex: interleaved(index, count)}
}

// rateLimit is the rate that an endpoint accepts from all VMs together. The VMs
// divide it without messages: each one sends in its own time slots, which follow
// from its position and the time of day, so that the time slots of all VMs are
// spaced evenly.
type rateLimit struct {
	// perSecond is the rate that the endpoint names, or 0 if it names none.
	perSecond float64
	// cold limits the rate further while the endpoint is cold.
	cold coldPhase
	// lastTimeSlot is the last time slot that was used.
	lastTimeSlot time.Time
}

// set sets the rate, or removes the limit if it is 0, and reports whether a limit
// starts or ends.
func (l *rateLimit) set(perSecond float64, now time.Time) (changed bool) {
	changed = (l.perSecond > 0) != (perSecond > 0)
	if l.current(now) == 0 {
		// Time slots from before the limit was known are not used.
		l.lastTimeSlot = now
	}
	l.perSecond = perSecond
	return changed
}

// setCold sets when the endpoint is cold.
func (l *rateLimit) setCold(cold coldPhase, now time.Time) {
	if cold.isCold(now) && !l.cold.isCold(now) && l.lastTimeSlot.Before(now) {
		// Time slots from before the limit was known are not used.
		l.lastTimeSlot = now
	}
	l.cold = cold
}

// current returns the rate in force: the lower of the one that the endpoint names and
// the one of a cold endpoint, or 0 if there is no limit.
func (l *rateLimit) current(now time.Time) float64 {
	if l.cold.perSecond == 0 {
		return l.perSecond
	}
	if cold := l.cold.rate(now); cold > 0 && (l.perSecond == 0 || cold < l.perSecond) {
		return cold
	}
	return l.perSecond
}

// nextTimeSlot returns a VM's next time slot that can be used, which may lie in
// the past.
func (l *rateLimit) nextTimeSlot(slots TimeSlots, now time.Time) time.Time {
	index := slots.index
	if l.cold.rate(now) > 0 {
		index = (slots.coldIndex + l.cold.shift) % slots.count
	}
	interval := float64(time.Second) / l.current(now)
	period := max(minPeriod, time.Duration(interval*float64(slots.count)))
	phase := time.Duration(interval * float64(index))
	after := now.Add(-timeSlotLifetime)
	if l.lastTimeSlot.After(after) {
		after = l.lastTimeSlot
	}
	sinceTimeSlot := (time.Duration(after.UnixNano()) - phase) % period
	return after.Add(period - sinceTimeSlot)
}

// exhausted reports whether a VM may send no request now.
func (l *rateLimit) exhausted(slots TimeSlots, now time.Time) bool {
	return l.current(now) > 0 && l.nextTimeSlot(slots, now).After(now)
}

// use counts a request. One that is sent although the limit is exhausted uses the
// next time slot in advance.
func (l *rateLimit) use(slots TimeSlots, now time.Time) {
	if l.current(now) > 0 {
		l.lastTimeSlot = l.nextTimeSlot(slots, now)
	}
}

// unlistedLimits are the rate limits of endpoints that are not listed, by name. The
// entry of a running endpoint may lapse and come back; the limit holds all the while.
type unlistedLimits map[string]rateLimit

// keep keeps a limit that an endpoint names, if it does, and drops another one if there
// are too many. Whether the endpoint is cold is decided anew when it is listed again.
func (u unlistedLimits) keep(name string, l rateLimit) {
	l.cold = coldPhase{}
	if l.perSecond <= 0 {
		return
	}
	for other := range u {
		if len(u) < maxUnlisted {
			break
		}
		delete(u, other)
	}
	u[name] = l
}

// take removes the limit of an endpoint and returns it.
func (u unlistedLimits) take(name string) rateLimit {
	l := u[name]
	delete(u, name)
	return l
}
