package hawthornrail

import "time"

// Clock provides the current time and timers; tests replace it with a fake clock.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// Since returns the time elapsed since t.
	Since(t time.Time) time.Duration
	// After returns a channel that receives once after d.
	After(d time.Duration) <-chan time.Time
	// Sleep blocks for d.
	Sleep(d time.Duration)
}
