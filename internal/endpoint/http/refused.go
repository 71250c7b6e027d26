package http

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// refusalTimeout bounds the wait for a connection that may be refused; an
// endpoint that is only unreachable does not refuse.
const refusalTimeout = 100 * time.Millisecond

// Refused reports whether an address refuses connections, as it does once its
// process has ended. A connection that is accepted is kept for the next request.
// Calls for one address at the same time share one attempt.
func (t *Transport) Refused(address string) bool {
	refused, _, _ := t.refusals.Do(address, func() (any, error) { return t.refused(address), nil })
	return refused == true
}

func (t *Transport) refused(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
	defer cancel()
	return errors.Is(t.Connect(ctx, address), syscall.ECONNREFUSED)
}

// Connect opens a connection to an address and keeps it for the next request.
func (t *Transport) Connect(ctx context.Context, address string) error {
	c, _, err := t.connect(ctx, address, true)
	if err != nil {
		return err
	}
	t.putIdle(address, c, idleTimeout)
	return nil
}
