package detour

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
	"hawthornrail.example/hawthornrail/internal/policy/memory"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// maxInFlight bounds the requests of other VMs, so that this VM's own callers come
	// first.
	maxInFlight = 128
	// bodyShare is the fraction of the memory limit that the bodies of these requests
	// may use.
	bodyShare = 0.1
)

var (
	errBusy     = errors.New("too many requests of other VMs")
	errDraining = errors.New("VM is draining")
	errCutOff   = errors.New("VM reaches no endpoint of the service itself")
)

// ServerDependencies are the dependencies of a Server.
type ServerDependencies struct {
	Handler  hawthornrail.DetourHandler
	Contact  hawthornrail.Contact
	Clock    hawthornrail.Clock
	Recorder *trail.Recorder
	// MemoryBytes is the memory limit of the process, and Memory counts the bytes of all
	// requests.
	MemoryBytes int64
	Memory      *memory.Budget
}

// Server sends the requests of other VMs to endpoints.
type Server struct {
	deps ServerDependencies

	mu        sync.Mutex
	inFlight  int
	bodyBytes int64
	draining  bool
	// ended is closed when no request is in flight; it is nil unless Wait waits.
	ended chan struct{}
}

// NewServer returns a server with the given dependencies.
func NewServer(deps ServerDependencies) *Server { return &Server{deps: deps} }

// Receive serves the requests of other VMs about endpoints and reports whether open is
// one.
func (s *Server) Receive(ctx context.Context, open *vmpb.Open, stream *peer.Stream) bool {
	switch {
	case open.GetReachAsk() != nil:
		// A VM that misses the reply asks others at the same time.
		_ = stream.Send(s.receiveAsk(ctx, open.GetReachAsk()))
	case open.GetDetour() != nil:
		s.serve(ctx, open.GetDetour(), stream)
	default:
		return false
	}
	return true
}

func (s *Server) receiveAsk(ctx context.Context, ask *vmpb.ReachAsk) *vmpb.ReachReply {
	reached := s.deps.Contact.Reached(ctx, ask.GetService(), time.Duration(ask.GetWithinMs())*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return &vmpb.ReachReply{Reached: reached, Busy: s.draining || s.inFlight >= maxInFlight}
}

// StartDraining refuses requests from now on.
func (s *Server) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Wait waits until the requests in flight have ended, and returns an error if some have
// not when ctx ends.
func (s *Server) Wait(ctx context.Context) error {
	s.mu.Lock()
	if s.inFlight == 0 {
		s.mu.Unlock()
		return nil
	}
	ended := make(chan struct{})
	s.ended = ended
	s.mu.Unlock()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("requests of other VMs: %w", ctx.Err())
	}
}

func (s *Server) begin(bytes int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining:
		return errDraining
	case s.inFlight >= maxInFlight, s.inFlight > 0 && float64(s.bodyBytes+bytes) > bodyShare*float64(s.deps.MemoryBytes):
		return errBusy
	}
	s.inFlight++
	s.bodyBytes += bytes
	return nil
}

func (s *Server) end(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.bodyBytes -= bytes
	if s.inFlight == 0 && s.ended != nil {
		close(s.ended)
		s.ended = nil
	}
}

// serve sends a request to an endpoint and its response to the VM that sent it.
func (s *Server) serve(ctx context.Context, m *vmpb.Detour, stream *peer.Stream) {
	bytes := int64(len(m.GetBody()))
	start := s.deps.Clock.Now()
	// The request has arrived whole and is not evicted.
	held := s.deps.Memory.Reserve(func() {})
	defer held.Release()
	if err := s.take(m, bytes, held, start); err != nil {
		sendRefusal(stream, err)
		return
	}
	defer s.end(bytes)
	line := s.deps.Recorder.Start(string(m.GetRequestId()))
	line.Event(events.DetourReceived).Str("from", stream.From().VM()).Str("service", m.GetService()).Int("left_ms", int(m.GetLeftMs())).Emit()
	r := requestFromWire(m, start)
	progress := hawthornrail.NewForwardProgress(string(m.GetProgress().GetLastEvent()))
	progressFromWire(m.GetProgress(), &progress)
	ctx = trail.With(ctx, line)
	if !r.Deadline().IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline())
		defer cancel()
	}
	err := s.forward(ctx, r, m.GetService(), &progress, stream)
	// A sender that misses the end takes the response for truncated.
	_ = stream.Send(endReply(&vmpb.DetourEnd{
		End: convert.EndToWire(err), Refused: errors.Is(err, hawthornrail.ErrHelperRefused), Progress: progressToWire(&progress),
	}))
	line.Event(events.DetourEnded).Str("verdict", hawthornrail.VerdictOf(err).String()).Err(err).
		Millis("took_ms", s.deps.Clock.Since(start)).Emit()
	line.Close(err != nil)
}

// take counts a request in flight, or says why this VM takes none.
func (s *Server) take(m *vmpb.Detour, bytes int64, held *memory.Reservation, now time.Time) error {
	if s.deps.Contact.CutOff(m.GetService()) {
		return errCutOff
	}
	if err := held.Grow(int(bytes), now); err != nil {
		return fmt.Errorf("%w: %w", errBusy, err)
	}
	return s.begin(bytes)
}

func (s *Server) forward(ctx context.Context, r *hawthornrail.ForwardRequest, service string, p *hawthornrail.ForwardProgress, stream *peer.Stream) error {
	response, err := s.deps.Handler.ForwardFor(ctx, r, service, p)
	if err != nil {
		return err
	}
	head := &vmpb.DetourHead{Status: int32(response.Status()), Headers: headersToWire(response.Headers()), Version: response.Version()}
	if response.Stream() == nil {
		defer response.Release()
		return sendBody(stream, head, response.Body())
	}
	err = sendStream(stream, head, response.Stream())
	return errors.Join(err, response.Stream().Close())
}
