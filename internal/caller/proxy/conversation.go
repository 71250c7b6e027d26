package proxy

import (
	"context"
	"errors"
	"io"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
	"hawthornrail.example/hawthornrail/internal/policy/placement"
)

var (
	errNotStream  = errors.New("response is no stream")
	errResumed    = errors.New("stream is resumed by its caller on a route that does not allow it")
	errNoID       = errors.New("request has no id")
	errTurnTooBig = errors.New("turn is too long")
)

// ConversationDependencies are the dependencies and limits of a Conversations filter.
type ConversationDependencies struct {
	Conversations hawthornrail.Conversations
	// UnderWay keeps the events of turns whose streams may be taken up at other VMs.
	UnderWay hawthornrail.TurnsUnderWay
	Clock    hawthornrail.Clock
	Metrics  *metrics.Conversations
	// MaxChainBytes bounds a chain with the new input, and the input and output of one
	// turn.
	MaxChainBytes int64
}

// Conversations adds the chain of a conversation to the requests of its route, and stores
// their turns.
type Conversations struct {
	deps ConversationDependencies
}

// NewConversations returns the filter with the given dependencies.
func NewConversations(deps ConversationDependencies) *Conversations {
	return &Conversations{deps: deps}
}

// Filter loads the chain before a request uses its program's budget and its team's rate,
// and lets a stream end once its turn is stored.
func (f *Conversations) Filter(ctx context.Context, r *hawthornrail.ForwardRequest, next hawthornrail.ForwardHandler) (*hawthornrail.ForwardResponse, error) {
	retention, ok := r.Route().Conversations()
	if !ok {
		return next.Forward(ctx, r)
	}
	input := r.Body()
	if err := f.deps.Conversations.Available(int64(len(input))); err != nil {
		return nil, err
	}
	key, err := f.addChain(ctx, r)
	if err != nil {
		return nil, err
	}
	s := &turnStream{filter: f, ctx: ctx, request: r, retention: retention, turn: hawthornrail.NewTurn(hawthornrail.NewTurnRef(r.Deployment().Team(), r.ID()), input, nil).
		WithParent(r.Call().Parent()).WithPlacementKey(key)}
	s.events.limit = max(0, int(f.deps.MaxChainBytes)-len(input))
	if r.Route().Resumable() {
		if err := s.beginRecording(); err != nil {
			return nil, err
		}
	}
	response, err := next.Forward(ctx, r)
	if err == nil {
		err := notTurn(r, response)
		if err == nil {
			s.ReadCloser = response.Stream()
			return response.WithStream(s), nil
		}
		trail.From(ctx).Event(events.ResponseNoTurn).Int("status", response.Status()).Err(err).Emit()
	}
	return response, err
}

// addChain puts the chain that a request continues from before its input, and returns the
// placement key of its turn.
func (f *Conversations) addChain(ctx context.Context, r *hawthornrail.ForwardRequest) (key string, err error) {
	call := r.Call()
	if call.Parent() == "" {
		return placement.Key(call.Program(), r.ID()), nil
	}
	query := hawthornrail.NewChainQuery(hawthornrail.NewTurnRef(r.Deployment().Team(), call.Parent()), call.Program())
	chain, err := f.deps.Conversations.Chain(ctx, query.WithRoom(len(r.Body())).WithAdmission(f.admission(r)))
	if err != nil {
		return "", err
	}
	r.SetBody(append(chain.Content(), r.Body()...), len(chain.Content()))
	return chain.PlacementKey(), nil
}

// admission returns what admits the content of the chain that a request continues from: not
// more than a chain may have, and what fits in memory.
func (f *Conversations) admission(r *hawthornrail.ForwardRequest) func(bytes int) error {
	size := len(r.Body())
	return func(bytes int) error {
		if size += bytes; int64(size) > f.deps.MaxChainBytes {
			return hawthornrail.NotRun(hawthornrail.CodeBodyTooLarge, "the chain has %d bytes or more with the new input, at most %d are allowed", size, f.deps.MaxChainBytes)
		}
		return r.Reserve(bytes)
	}
}

// notTurn returns why a response is not stored as a turn, or nil.
func notTurn(r *hawthornrail.ForwardRequest, response *hawthornrail.ForwardResponse) error {
	switch {
	case response.Stream() == nil:
		return errNotStream
	case r.LastEvent() != "" && !r.Route().Resumable():
		return errResumed
	case r.ID() == "":
		return errNoID
	default:
		return nil
	}
}

// turnStream is the stream of a turn. It ends once the turn is stored.
type turnStream struct {
	io.ReadCloser
	filter    *Conversations
	ctx       context.Context
	request   *hawthornrail.ForwardRequest
	turn      hawthornrail.Turn
	retention time.Duration
	events    eventData
	// reserved is how many bytes of the events are counted in the memory of the request.
	reserved int
	// recorder keeps the events at other VMs too, unless it is nil; recorded is how many it
	// has.
	recorder hawthornrail.TurnRecorder
	recorded int
	err      error
}

// beginRecording lets other VMs keep the events of the turn. If its caller takes the stream
// up, it adds the events that the caller has: without them the turn could not be stored, so
// that the caller is to send the turn again from its start.
func (s *turnStream) beginRecording() error {
	r := s.request
	if r.LastEvent() == "" {
		s.recorder = s.filter.deps.UnderWay.Begin(s.turn.Ref())
		return nil
	}
	ref := hawthornrail.NewTurnRef(r.Deployment().Team(), r.Stream())
	recorder, kept, ok := s.filter.deps.UnderWay.Resume(s.ctx, ref, r.ID(), r.LastEvent())
	trail.From(s.ctx).Event(events.TurnTakenUp).Str("turn", r.Stream()).Str("after_event", r.LastEvent()).Bool("known", ok).Int("events", len(kept)).Emit()
	if !ok {
		return hawthornrail.NotRun(hawthornrail.CodeStreamUnknown, "no VM has the events of turn %s up to %s", r.Stream(), r.LastEvent()).WithRetryAfter(confirmRetryAfter)
	}
	s.recorder, s.recorded = recorder, len(kept)
	s.events.seed(kept)
	return nil
}

// Read returns events as soon as they arrive; their end waits until the turn is stored.
func (s *turnStream) Read(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.ReadCloser.Read(p)
	s.collect(p[:n])
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if s.err = s.store(); s.err == nil {
		s.err = io.EOF
	}
	return n, s.err
}

// collect collects the data of a part of the stream, unless it does not fit in memory.
func (s *turnStream) collect(part []byte) {
	s.events.add(part)
	needed := s.events.size()
	if s.recorder != nil {
		// The recorder has a copy.
		needed *= 2
	}
	if missing := needed - s.reserved; missing > 0 {
		if err := s.request.Reserve(missing); err != nil {
			s.events.discard(err)
			return
		}
		s.reserved += missing
	}
	s.record()
}

// record lets other VMs keep the complete events before the caller receives them.
func (s *turnStream) record() {
	if s.recorder == nil {
		return
	}
	if events := s.events.after(s.recorded); len(events) > 0 {
		s.recorded += len(events)
		s.recorder.Record(s.ctx, events)
	}
}

// store stores the turn. Its failure does not wrap the cause: the end of a connection,
// io.EOF, would mean that the stream is complete.
func (s *turnStream) store() error {
	output, err := s.events.output()
	if err != nil {
		s.filter.deps.Metrics.BrokenOff()
		trail.From(s.ctx).Event(events.ResponseNoTurn).Err(err).Emit()
		return hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, errors.New(err.Error()))
	}
	turn := s.turn.WithOutput(output).WithRetention(s.filter.deps.Clock.Now(), s.retention)
	if err := s.filter.deps.Conversations.Save(s.ctx, turn); err != nil {
		return hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, errors.New(err.Error()))
	}
	return nil
}
