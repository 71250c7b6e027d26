package overload

import "time"

// programs counts the new programs of a VM against the rate at which the endpoints
// can take them. A new program brings more work with each of its turns, so that those
// of a burst overload the endpoints seconds after they were admitted. The debt of a
// burst is known before that: programs are counted at all times, and refused only
// during overload.
type programs struct {
	// perSecond is the learnt rate at full load, and samples the number of requests
	// that it was learnt from.
	perSecond float64
	samples   int
	starts    decaying
	load      decaying
	// credit is in programs; it is negative after more than the endpoints can take.
	credit    float64
	updatedAt time.Time
}

// report records the load of an endpoint, in its slots.
func (p *programs) report(load float64, now time.Time, age time.Duration) { p.load.add(load, now, age) }

// learn updates the rate, in a calm time: the load rises in proportion to new programs.
func (p *programs) learn(now time.Time, age time.Duration, share float64) {
	load, ok := p.load.mean()
	if !ok || load <= 0 {
		return
	}
	p.samples++
	p.perSecond += max(calmGain, 1/float64(p.samples)) * (share*p.starts.rate(now, age)/load - p.perSecond)
}

// refill adds the credit of the time since the last call.
func (p *programs) refill(now time.Time, params Params) {
	p.credit += p.perSecond * max(0, now.Sub(p.updatedAt).Seconds())
	p.credit = clamp(p.credit, -params.MaxDebt.Seconds()*p.perSecond, params.MaxCredit.Seconds()*p.perSecond+1)
	p.updatedAt = now
}

// start counts an admitted new program.
func (p *programs) start(now time.Time, age time.Duration) {
	p.credit--
	p.starts.add(1, now, age)
}

// balance is the credit in seconds of the rate.
func (p *programs) balance() float64 {
	if p.perSecond <= 0 {
		return 0
	}
	return p.credit / p.perSecond
}
