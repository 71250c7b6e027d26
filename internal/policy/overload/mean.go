package overload

import (
	"math"
	"time"
)

// decaying is a sum whose terms lose their weight with their age.
type decaying struct {
	sum       float64
	weight    float64
	firstAt   time.Time
	updatedAt time.Time
}

func decay(from, now time.Time, age time.Duration) float64 {
	return math.Exp(-max(0, now.Sub(from).Seconds()) / age.Seconds())
}

func (d *decaying) add(v float64, now time.Time, age time.Duration) {
	if d.firstAt.IsZero() {
		d.firstAt = now
	}
	keep := decay(d.updatedAt, now, age)
	d.sum, d.weight, d.updatedAt = d.sum*keep+v, d.weight*keep+1, now
}

// addRecent is like add; about the last samples terms count.
func (d *decaying) addRecent(v float64, now time.Time, age time.Duration, samples float64) {
	d.sum, d.weight = d.sum*(1-1/samples), d.weight*(1-1/samples)
	d.add(v, now, age)
}

// mean is the mean of the terms; ok is false if there are none.
func (d *decaying) mean() (mean float64, ok bool) {
	if d.weight == 0 {
		return 0, false
	}
	return d.sum / d.weight, true
}

// count is the decayed number of terms.
func (d *decaying) count(now time.Time, age time.Duration) float64 {
	return d.weight * decay(d.updatedAt, now, age)
}

// rate is the number of terms in a second. Until there have been terms for longer than
// age, it is that of the time since the first one.
func (d *decaying) rate(now time.Time, age time.Duration) float64 {
	covered := age.Seconds() * (1 - decay(d.firstAt, now, age))
	if covered <= 0 {
		return 0
	}
	return d.count(now, age) / covered
}

func clamp(v, lowest, highest float64) float64 { return min(max(v, lowest), highest) }
