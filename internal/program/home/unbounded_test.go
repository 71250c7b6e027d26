package home_test

import (
	"context"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// unbounded admits every request immediately; it implements hawthornrail.Queue.
type unbounded struct{}

// Acquire admits the request immediately.
func (unbounded) Acquire(context.Context, hawthornrail.Ticket) (func(float64), error) {
	return func(float64) {}, nil
}
