package holder

import "time"

// silenceLimit is how long a holder may not answer before another VM takes its
// place; a restart takes less.
const silenceLimit = 3 * time.Second

// silence is how long the listed holder has not answered.
type silence struct {
	since time.Time
}

// over takes whether the holder answered a question of some time, and reports
// whether it has been silent for too long by now.
func (s *silence) over(answered bool, asked, now time.Time) bool {
	if answered {
		s.since = time.Time{}
		return false
	}
	if s.since.IsZero() {
		s.since = asked
	}
	return now.Sub(s.since) >= silenceLimit
}
