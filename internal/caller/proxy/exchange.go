package proxy

import (
	"context"
	"errors"
	"io"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
)

// exchange is one request while it is served.
type exchange struct {
	server         *Server
	request        *hawthornrail.ForwardRequest
	conn           *conn
	trail          *trail.Trail
	cancel         context.CancelCauseFunc
	cancelDeadline context.CancelFunc
	stopWatch      func()
	ctx            context.Context
	ended          bool
}

func (e *exchange) begin() {
	e.server.inFlight.Add(1)
	e.trail = e.server.deps.Recorder.Start(e.request.ID())
	call := e.request.Call()
	e.trail.Event(events.ForwardArrived).Str("method", e.request.Method()).Str("path", e.request.Path()).
		Str("program", call.Program()).Str("line", call.Session()).
		Str("after_event", e.request.LastEvent()).Str("stream", e.request.Stream()).
		Millis("deadline_ms", e.request.Deadline().Sub(e.request.Received())).Emit()
	ctx := trail.With(e.server.requests, e.trail)
	ctx, e.cancel = context.WithCancelCause(ctx)
	e.cancelDeadline = func() {}
	if deadline := e.request.Deadline(); !deadline.IsZero() {
		ctx, e.cancelDeadline = context.WithDeadline(ctx, deadline)
	}
	e.ctx = ctx
	e.stopWatch = e.conn.watch(func() { e.cancel(errCallerDisconnected) })
}

// Grow counts further bytes that are held for the request; it implements
// hawthornrail.RequestMemory.
func (e *exchange) Grow(bytes int) error {
	if err := e.conn.memory.Grow(bytes, e.conn.now()); err != nil {
		return full(err)
	}
	return nil
}

// end releases the resources of the request and records its outcome; further
// calls do nothing.
func (e *exchange) end(err error) {
	if e.ended {
		return
	}
	e.ended = true
	e.stopWatch()
	e.conn.memory.ShrinkTo(e.conn.headBytes)
	disconnected := errors.Is(context.Cause(e.ctx), errCallerDisconnected)
	e.cancelDeadline()
	e.cancel(nil)
	e.server.inFlight.Add(-1)
	duration := e.server.deps.Clock.Since(e.request.Received())
	e.server.deps.Forwards.Ended(e.request.Route().Kind(), e.request.Deployment().Team(), err, duration)
	e.trail.Event(outcomeEvent(err, disconnected)).Str("team", e.request.Deployment().Team()).
		Str("verdict", hawthornrail.VerdictOf(err).String()).Err(err).Millis("took_ms", duration).Emit()
	e.trail.Close(err != nil)
}

func outcomeEvent(err error, disconnected bool) events.Event {
	switch {
	case err == nil:
		return events.ForwardCompleted
	case disconnected:
		return events.CallerDisconnected
	case hawthornrail.VerdictOf(err) == hawthornrail.VerdictNotRun:
		return events.ForwardRefused
	default:
		return events.ForwardFailed
	}
}

// responseBody is the stream of a response that the connection reads from.
type responseBody struct {
	exchange *exchange
	response *hawthornrail.ForwardResponse
	err      error
}

// Read returns the next part; after an error other than io.EOF the connection is
// closed without the end of the body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.response.Stream().Read(p)
	if err != nil {
		b.err = err
	}
	return n, err
}

// Close ends the request.
func (b *responseBody) Close() error {
	err := b.response.Stream().Close()
	switch {
	case errors.Is(b.err, io.EOF):
		b.exchange.end(err)
	case b.err != nil:
		b.exchange.end(b.err)
	default:
		b.exchange.end(hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, errCallerDisconnected))
	}
	return nil
}
