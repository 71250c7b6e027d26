package clock

import (
	"context"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Wait blocks for d or until ctx is done, and reports whether d has passed.
func Wait(ctx context.Context, c hawthornrail.Clock, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.After(d):
		return true
	}
}
