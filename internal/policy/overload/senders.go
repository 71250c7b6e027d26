package overload

import (
	"math"
	"time"
)

// senders are the admitted requests of each team and route in the recent past.
type senders map[string]*decaying

// add counts an admitted request.
func (s senders) add(sender string, now time.Time, age time.Duration) {
	d, ok := s[sender]
	if !ok {
		if len(s) >= maxSenders {
			s.forget(now, age)
		}
		if len(s) >= maxSenders {
			sender = ""
		}
		if d, ok = s[sender]; !ok {
			d = &decaying{}
			s[sender] = d
		}
	}
	d.add(1, now, age)
}

// forget removes the senders without recent requests.
func (s senders) forget(now time.Time, age time.Duration) {
	for sender, d := range s {
		if d.count(now, age) < minCount {
			delete(s, sender)
		}
	}
}

// fairness is the factor for the share of a sender: above 1 if it has had less than an
// equal part of the admitted requests, below 1 if it has had more.
func (s senders) fairness(sender string, now time.Time, age time.Duration) float64 {
	total, active := 0.0, 0
	for _, d := range s {
		if n := d.count(now, age); n >= minCount {
			total += n
			active++
		}
	}
	if active <= 1 {
		return 1
	}
	own := minCount
	if d, ok := s[sender]; ok {
		own = max(minCount, d.count(now, age))
	}
	return clamp(math.Sqrt(total/float64(active)/own), minFairness, maxFairness)
}
