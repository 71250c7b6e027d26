package http

import (
	"context"
	"errors"
	"time"
)

// ErrTooLate means that the time set by WithSendBy has passed.
var ErrTooLate = errors.New("too late to send the request")

type sendByKey struct{}

// WithSendBy returns a context with which no request is sent after the given
// time.
func WithSendBy(ctx context.Context, latest time.Time) context.Context {
	return context.WithValue(ctx, sendByKey{}, latest)
}

func (t *Transport) checkSendBy(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	latest, ok := ctx.Value(sendByKey{}).(time.Time)
	if ok && t.clock.Now().After(latest) {
		return ErrTooLate
	}
	return nil
}
