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

const (
	readBufferSize  = 2 << 10
	eventStreamType = "text/event-stream"
)

var (
	errNoStream     = errors.New("response to the resumption is no stream")
	errForeignEvent = errors.New("event of a resumed stream has no id")
)

// isEventStream reports whether a response is a stream; one without a media type
// is taken for it.
func isEventStream(e exchange) bool {
	mediaType, _, _ := strings.Cut(e.ContentType(), ";")
	mediaType = strings.TrimSpace(mediaType)
	return e.Status() == statusOK && (mediaType == "" || strings.EqualFold(mediaType, eventStreamType))
}

// eventStream is the body of a streamed response; it resumes at another
// endpoint when the connection to the current one fails.
type eventStream struct {
	ctx      context.Context
	dispatch *dispatch
	attempt  *attempt
	splitter eventSplitter
	ready    []byte
	buffer   []byte
	// held counts the bytes of the incomplete event.
	held *http.Buffer
	// recorded is set once the origin of the stream is recorded.
	recorded bool
	err      error
}

// stream returns a response whose events are forwarded as they arrive.
func (d *dispatch) stream(ctx context.Context, a *attempt) (*hawthornrail.ForwardResponse, error) {
	s := &eventStream{ctx: ctx, dispatch: d, attempt: a, held: d.deps.Buffers.Event()}
	s.splitter.lastID = d.progress.LastEvent()
	return hawthornrail.NewForwardStream(a.exchange.Status(), a.exchange.EndToEnd(), s).WithVersion(d.versionOf(a)), nil
}

// Read returns events as soon as they are complete; io.EOF means that the
// endpoint has ended the stream regularly.
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
	var chunk [readBufferSize]byte
	n, err := s.attempt.exchange.Read(chunk[:])
	s.buffer = s.splitter.add(s.buffer[:0], chunk[:n])
	s.ready = s.buffer
	if len(s.ready) > 0 {
		s.recordOrigin()
	}
	if s.splitter.foreign {
		s.resume(errForeignEvent)
		return
	}
	if err := s.held.Hold(len(s.splitter.partial)); err != nil {
		s.resume(err)
		return
	}
	if err == nil {
		return
	}
	if errors.Is(err, io.EOF) && s.splitter.atBoundary() && !s.dispatch.brokenOff(s.attempt) {
		s.finish(nil)
		return
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	s.resume(err)
}

// recordOrigin records, before the first event reaches the caller, which version
// the stream has to go on at.
func (s *eventStream) recordOrigin() {
	if s.recorded {
		return
	}
	s.recorded = true
	d := s.dispatch
	version := d.versionOf(s.attempt)
	d.progress.KeepVersion(version)
	if d.forOther {
		return
	}
	stream := d.request.ID()
	if d.request.LastEvent() != "" {
		stream = d.request.Stream()
	}
	d.deps.Origins.Record(stream, hawthornrail.NewStreamOrigin(d.service.Name(), version))
}

// resume opens the stream again after its last complete event.
func (s *eventStream) resume(cause error) {
	d := s.dispatch
	err := d.failMayHaveRun(s.ctx, s.attempt, cause)
	if s.splitter.lastID != "" {
		d.progress.SetLastEvent(s.splitter.lastID)
	}
	for s.resumable() && d.mayRetry(s.ctx, err) {
		d.logEvent(events.StreamResumed).Err(err).Str("after_event", d.progress.LastEvent()).Emit()
		d.deps.Forwards.Resumed()
		var a *attempt
		if a, err = d.open(s.ctx); err != nil {
			break
		}
		if isEventStream(a.exchange) {
			s.splitter.resume()
			s.attempt = a
			return
		}
		err = d.failMayHaveRun(s.ctx, a, errNoStream)
	}
	s.finish(err)
}

// resumable reports whether an endpoint can tell which events the caller has:
// those without ids would be sent again.
func (s *eventStream) resumable() bool {
	return s.splitter.count == 0 || s.splitter.lastID != ""
}

func (s *eventStream) finish(err error) {
	s.err = io.EOF
	if err != nil {
		s.err = interrupted(err)
	}
	s.splitter.partial = nil
	s.held.Release()
	s.dispatch.finish(s.attempt, err, s.splitter.count*s.dispatch.service.TokensPerEvent())
}

// interrupted returns a failure without its cause: the end of a connection, io.EOF,
// would mean that the stream is complete.
func interrupted(err error) error {
	f := hawthornrail.AsFailure(err)
	return hawthornrail.NewFailure(f.Code(), f.Verdict(), errors.New(f.Message())).WithRetryAfter(f.RetryAfter())
}

// Close cancels the request at its endpoint unless the stream has ended.
func (s *eventStream) Close() error {
	if s.err == nil {
		s.finish(hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, context.Cause(s.ctx)))
	}
	return nil
}

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "transfer-encoding": true,
	"te": true, "trailer": true, "upgrade": true, "content-length": true,
}

// IsHopByHop reports whether a header field applies to one connection only.
func IsHopByHop(name string) bool { return hopByHopHeaders[strings.ToLower(name)] }

func endToEndHeaders(e *http.Exchange) []hawthornrail.Header {
	var headers []hawthornrail.Header
	for name, value := range e.Header().All() {
		if key := string(name); !IsHopByHop(key) {
			headers = append(headers, hawthornrail.NewHeader(key, string(value)))
		}
	}
	return headers
}
