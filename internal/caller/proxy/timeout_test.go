package proxy_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/caller/proxy"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
)

const routeTimeout = 2 * time.Second

// slowStream has an event after each of some pauses, and ends with its context.
type slowStream struct {
	ctx    context.Context
	pauses []time.Duration
	closed bool
}

func (s *slowStream) Read(p []byte) (int, error) {
	if len(s.pauses) == 0 {
		return 0, io.EOF
	}
	if !clock.Wait(s.ctx, clock.Real(), s.pauses[0]) {
		return 0, hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, context.Cause(s.ctx))
	}
	s.pauses = s.pauses[1:]
	return copy(p, "x"), nil
}

func (s *slowStream) Close() error {
	s.closed = true
	return nil
}

// endpointThatHangs returns a handler whose response never arrives.
func endpointThatHangs(verdict hawthornrail.Verdict) hawthornrail.ForwardHandlerFunc {
	return func(ctx context.Context, _ *hawthornrail.ForwardRequest) (*hawthornrail.ForwardResponse, error) {
		<-ctx.Done()
		return nil, hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, verdict, context.Cause(ctx))
	}
}

// sendWithin sends a request whose caller waits for a time, or for ever, through the filter.
func sendWithin(t *testing.T, callerWaits time.Duration, h hawthornrail.ForwardHandler) (response *hawthornrail.ForwardResponse, took time.Duration, err error) {
	t.Helper()
	r := hawthornrail.NewForwardRequest("POST", "host", "/x", "/x", nil, time.Now())
	if callerWaits > 0 {
		r.SetDeadline(time.Now().Add(callerWaits))
	}
	r.Match(hawthornrail.NewRoute("route", "host", "/", hawthornrail.NonIdempotentRoute, nil).WithTimeoutAndObjective(routeTimeout, 0), 1)
	start := time.Now()
	response, err = proxy.NewTimeout(clock.Real()).Filter(t.Context(), r, h)
	return response, time.Since(start), err
}

// Guards against review case 15: a request that hangs has no answer until its caller gives
// up, whatever the timeout of its route.
func TestRequestEndsAtItsRoutesTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		callerWaits time.Duration
		verdict     hawthornrail.Verdict
		code        hawthornrail.Code
		want        time.Duration
	}{
		"caller waits longer":   {3 * routeTimeout, hawthornrail.VerdictMayHaveRun, hawthornrail.CodeDeadline, routeTimeout},
		"caller waits for ever": {0, hawthornrail.VerdictMayHaveRun, hawthornrail.CodeDeadline, routeTimeout},
		"caller waits shorter":  {routeTimeout / 2, hawthornrail.VerdictMayHaveRun, hawthornrail.CodeDeadline, routeTimeout / 2},
		"was not sent":          {0, hawthornrail.VerdictNotRun, hawthornrail.CodeEndpointFailed, routeTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, took, err := sendWithin(t, c.callerWaits, endpointThatHangs(c.verdict))
				f := hawthornrail.AsFailure(err)
				if err == nil || f.Code() != c.code || f.Verdict() != c.verdict || took != c.want {
					t.Errorf("%v after %v, want %s, %s after %v", err, took, c.code, c.verdict, c.want)
				}
			})
		})
	}
}

// Guards against streams that are cut although they flow, and against streams whose first
// event never arrives.
func TestStreamBeginsWithinItsRoutesTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		pauses []time.Duration
		begins bool
		events int
	}{
		"flows for longer":      {[]time.Duration{time.Second, time.Second, 10 * time.Second}, true, 3},
		"no event":              {[]time.Duration{routeTimeout + time.Millisecond}, false, 0},
		"ends before any event": {nil, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var stream *slowStream
				response, took, err := sendWithin(t, 0, hawthornrail.ForwardHandlerFunc(func(ctx context.Context, _ *hawthornrail.ForwardRequest) (*hawthornrail.ForwardResponse, error) {
					stream = &slowStream{ctx: ctx, pauses: c.pauses}
					return hawthornrail.NewForwardStream(http.StatusOK, nil, stream), nil
				}))
				if !c.begins {
					if hawthornrail.AsFailure(err).Code() != hawthornrail.CodeDeadline || took != routeTimeout || !stream.closed {
						t.Errorf("%v after %v, closed %t", err, took, stream.closed)
					}
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(response.Stream())
				if err != nil || len(body) != c.events {
					t.Errorf("%d events, %v, want %d", len(body), err, c.events)
				}
				if err := response.Stream().Close(); err != nil || !stream.closed || !errors.Is(stream.ctx.Err(), context.Canceled) {
					t.Errorf("after its end: closed %t, %v, %v", stream.closed, err, stream.ctx.Err())
				}
			})
		})
	}
}
