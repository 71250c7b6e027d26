package fair

import (
	"context"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Unbounded admits every request at once; it implements hawthornrail.Queue
// and is the baseline of the measurements.
type Unbounded struct{}

// Acquire returns at once.
func (Unbounded) Acquire(context.Context, hawthornrail.Ticket) (func(float64), error) {
	return func(float64) {}, nil
}
