package home_test

import (
	"context"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// unbounded admits every request at once; it implements hawthornrail.Queue.
type unbounded struct{}

// Acquire returns at once.
func (unbounded) Acquire(context.Context, hawthornrail.Ticket) (func(float64), error) {
	return func(float64) {}, nil
}
