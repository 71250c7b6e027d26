package forward

import (
	"context"
	"errors"
	"io"
	"strings"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

const readBytes = 2 << 10

// eventStream is the body of a stream that goes on at another endpoint when
// one breaks off.
type eventStream struct {
	ctx      context.Context
	dispatch *dispatch
	attempt  *attempt
	splitter splitter
	ready    []byte
	out      []byte
	err      error
}

// stream returns the answer whose events are passed on as they arrive.
func (d *dispatch) stream(ctx context.Context, a *attempt) (*hawthornrail.ForwardAnswer, error) {
	s := &eventStream{ctx: ctx, dispatch: d, attempt: a}
	s.splitter.last = d.lastEvent
	return hawthornrail.NewForwardStream(a.exchange.Status(), passedHeaders(a.exchange), s), nil
}

// Read returns events as soon as they are whole; io.EOF means that the stream
// has ended as the endpoint meant it to.
func (s *eventStream) Read(p []byte) (int, error) {
	for len(s.ready) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		s.receive()
	}
	n := copy(p, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

func (s *eventStream) receive() {
	var chunk [readBytes]byte
	n, err := s.attempt.exchange.Read(chunk[:])
	s.out = s.splitter.add(s.out[:0], chunk[:n])
	s.ready = s.out
	if err == nil {
		return
	}
	if errors.Is(err, io.EOF) && s.splitter.whole() {
		s.end(nil)
		return
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	s.resume(err)
}

// resume opens the stream after its last event once more.
func (s *eventStream) resume(cause error) {
	d := s.dispatch
	err := d.broken(s.ctx, s.attempt, cause)
	if s.splitter.last != "" {
		d.lastEvent = s.splitter.last
	}
	for d.again(s.ctx, err) {
		d.note(events.StreamResumed).Err(err).Str("after_event", d.lastEvent).Emit()
		d.parts.Forwards.Resumed()
		var a *attempt
		if a, err = d.open(s.ctx); err != nil {
			break
		}
		if a.exchange.Status() == statusOK {
			s.splitter.restart()
			s.attempt = a
			return
		}
		err = d.broken(s.ctx, a, errors.New("resume was refused"))
	}
	s.end(err)
}

func (s *eventStream) end(err error) {
	s.err = io.EOF
	if err != nil {
		s.err = err
	}
	s.dispatch.finish(s.attempt, err, s.splitter.seen*s.dispatch.service.TokensPerEvent())
}

// Close cancels the request at its endpoint unless the stream has ended.
func (s *eventStream) Close() error {
	if s.err == nil {
		s.end(hawthornrail.NewFailure(hawthornrail.CodeAnswerCut, hawthornrail.VerdictMayHaveRun, context.Cause(s.ctx)))
	}
	return nil
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "transfer-encoding": true,
	"te": true, "trailer": true, "upgrade": true, "content-length": true,
}

// HopHeader reports whether a header field concerns one connection only.
func HopHeader(name string) bool { return hopHeaders[strings.ToLower(name)] }

func passedHeaders(e *http.Exchange) []hawthornrail.Header {
	var list []hawthornrail.Header
	for name, value := range e.Header().All() {
		if key := string(name); !HopHeader(key) {
			list = append(list, hawthornrail.NewHeader(key, string(value)))
		}
	}
	return list
}
