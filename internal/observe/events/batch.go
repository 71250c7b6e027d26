package events

import "time"

// batchInterval is how often what a Batch counts is logged.
const batchInterval = time.Second

// Batch counts occurrences that share a log line; it is not safe for concurrent use.
type Batch struct {
	count    int
	loggedAt time.Time
}

// Count counts one occurrence, and returns the number of those since the previous line if the
// next one is due, else 0.
func (b *Batch) Count(now time.Time) int {
	b.count++
	if now.Sub(b.loggedAt) < batchInterval {
		return 0
	}
	count := b.count
	b.count, b.loggedAt = 0, now
	return count
}
