package proxy

import (
	"context"
	"errors"
	"io"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// firstPartBytes is how much of a stream is read before its head is written.
const firstPartBytes = 1 << 10

// errTimeout is the cause of a context whose request has no response in its time.
var errTimeout = errors.New("no response within the route's timeout or the caller's deadline")

// Timeout bounds the time that a request takes until its response: it ends a request at its
// deadline, which the filter before has limited to the timeout of the request's route.
type Timeout struct {
	clock hawthornrail.Clock
}

// NewTimeout returns the filter with a clock.
func NewTimeout(clock hawthornrail.Clock) *Timeout { return &Timeout{clock: clock} }

// Filter cancels all that works on a request at its deadline, until its response is whole,
// or until the first event of its stream has arrived: a stream that has begun goes on for as
// long as its caller waits.
func (f *Timeout) Filter(ctx context.Context, r *hawthornrail.ForwardRequest, next hawthornrail.ForwardHandler) (*hawthornrail.ForwardResponse, error) {
	if r.Deadline().IsZero() {
		return next.Forward(ctx, r)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(r.Deadline().Sub(f.clock.Now()), func() { cancel(errTimeout) })
	response, err := next.Forward(ctx, r)
	if err != nil || response.Stream() == nil {
		timer.Stop()
		err = timedOut(ctx, err)
		cancel(nil)
		return response, err
	}
	begun := begin(response.Stream(), cancel)
	if !timer.Stop() && begun.err != nil && begun.firstRead == 0 {
		_ = begun.Close()
		return nil, timedOut(ctx, begun.err)
	}
	return response.WithStream(begun), nil
}

// timedOut returns the failure of a request that has reached its deadline, if err is due to
// that and the request may have run, or err.
func timedOut(ctx context.Context, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errTimeout) || hawthornrail.VerdictOf(err) == hawthornrail.VerdictNotRun {
		return err
	}
	return hawthornrail.NewFailure(hawthornrail.CodeDeadline, hawthornrail.VerdictMayHaveRun, errTimeout)
}

// begunStream is a stream whose first part has been read.
type begunStream struct {
	io.ReadCloser
	first []byte
	// firstRead is the length of the first part, and err the error that came with it.
	firstRead int
	err       error
	cancel    context.CancelCauseFunc
}

// begin waits for the first part of a stream, whose context ends when it is closed.
func begin(stream io.ReadCloser, cancel context.CancelCauseFunc) *begunStream {
	s := &begunStream{ReadCloser: stream, first: make([]byte, firstPartBytes), cancel: cancel}
	s.firstRead, s.err = stream.Read(s.first)
	s.first = s.first[:s.firstRead]
	return s
}

// Read returns the first part, and then the rest as it arrives.
func (s *begunStream) Read(p []byte) (int, error) {
	if len(s.first) > 0 {
		n := copy(p, s.first)
		if s.first = s.first[n:]; len(s.first) == 0 {
			s.first = nil
		}
		return n, nil
	}
	if s.err != nil {
		return 0, s.err
	}
	return s.ReadCloser.Read(p)
}

// Close ends the request.
func (s *begunStream) Close() error {
	err := s.ReadCloser.Close()
	s.cancel(nil)
	return err
}
