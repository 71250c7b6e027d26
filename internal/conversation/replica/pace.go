package replica

import (
	"time"

	"golang.org/x/time/rate"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

const (
	// minPace is how many bytes a second repair fetches at least while turns are missing.
	minPace = 4 << 20
	// paceShare is the part, as a divisor, of the time to catch up in which repair plans to
	// fetch what is missing. The rest is for reading the logs and for newer turns.
	paceShare = 2
	// linkShare is the part, as a divisor, of the VM's link that repair uses at most.
	linkShare = 2
)

// pace bounds the bytes that repair fetches a second, by what is missing and the time there is.
type pace struct {
	limiter *rate.Limiter
	// catchUp is the time in which what is missing should be fetched, and most the largest
	// pace, in bytes a second.
	catchUp time.Duration
	most    float64
	// began is when more turns were missing than the least pace fetches in time, or zero.
	began time.Time
}

func newPace(catchUp time.Duration, linkBytesPerSecond int64) *pace {
	p := &pace{limiter: rate.NewLimiter(minPace, minPace), catchUp: catchUp, most: float64(linkBytesPerSecond) / linkShare}
	p.set(minPace)
	return p
}

// set sets the bytes a second. What one reply may hold passes at once.
func (p *pace) set(bytesPerSecond float64) {
	bytesPerSecond = max(minPace, min(bytesPerSecond, p.most))
	p.limiter.SetLimit(rate.Limit(bytesPerSecond))
	p.limiter.SetBurst(max(int(bytesPerSecond/10), fetchBytes))
}

// plan returns the bytes a second that fetch what is missing in time.
func (p *pace) plan(missingBytes int64) float64 {
	return float64(missingBytes) / (p.catchUp / paceShare).Seconds()
}

// setPace sets the pace by what is missing. It only rises until nothing is.
func (r *Replica) setPace() {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing := r.missingBytesLocked()
	planned := r.pace.plan(missing)
	if planned <= float64(r.pace.limiter.Limit()) {
		return
	}
	if r.pace.began.IsZero() {
		r.pace.began = r.deps.Clock.Now()
	}
	r.pace.set(planned)
	r.deps.Log.Event(events.RepairPaced).Int("missing_bytes", int(missing)).Int("bytes_per_s", int(r.pace.limiter.Limit())).
		Millis("left_ms", r.repairLeftLocked()).Millis("time_ms", r.pace.catchUp).Emit()
}

// paceDone ends the repair, if nothing is missing: a further loss is borne from now on.
func (r *Replica) paceDone(allFetched bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pace.began.IsZero() || !allFetched || r.missingBytesLocked() > 0 {
		return
	}
	took := r.deps.Clock.Since(r.pace.began)
	r.pace.began = time.Time{}
	r.pace.set(minPace)
	r.deps.Log.Event(events.CopiesComplete).Millis("took_ms", took).Bool("in_time", took <= r.pace.catchUp).Emit()
}

// missingBytesLocked returns the size of the turns that are known to be missing; r.mu must be
// held. Those that several VMs list count once: each VM lists what is missing.
func (r *Replica) missingBytesLocked() int64 {
	var most int64
	for _, p := range r.peers {
		var size int64
		for _, t := range p.missing {
			size += max(t.contentBytes, 1)
		}
		most = max(most, size)
	}
	return most
}

// repairLeftLocked returns how long it takes to fetch what is missing; r.mu must be held.
func (r *Replica) repairLeftLocked() time.Duration {
	seconds := float64(r.missingBytesLocked()) / float64(r.pace.limiter.Limit())
	return time.Duration(seconds * float64(time.Second))
}
