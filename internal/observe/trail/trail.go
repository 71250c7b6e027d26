package trail

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"sync"

	"github.com/rs/zerolog"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

// Recorder makes the trails of a process.
type Recorder struct {
	out    io.Writer
	vm     string
	sample int
}

// NewRecorder returns a recorder for a VM that writes every trail that is
// worth it and one of sample others to out.
func NewRecorder(out io.Writer, vm string, sample int) *Recorder {
	return &Recorder{out: out, vm: vm, sample: max(1, sample)}
}

// Trail is the list of decisions on one request.
type Trail struct {
	recorder *Recorder
	log      events.Logger

	mu    sync.Mutex
	lines bytes.Buffer
}

// Start returns an empty trail of a request with an id.
func (r *Recorder) Start(request string) *Trail {
	t := &Trail{recorder: r}
	t.log = events.NewLogger(t, zerolog.InfoLevel).With("vm", r.vm).With("request", request)
	return t
}

// Write adds a line.
func (t *Trail) Write(line []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines.Write(line)
}

// Note starts a line for an event.
func (t *Trail) Note(e events.Event) *events.Line { return t.log.Event(e) }

// Close writes the lines if the request is worth it or drawn as a sample.
func (t *Trail) Close(worth bool) {
	if !worth && rand.IntN(t.recorder.sample) != 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// The output counts what it can't take.
	_, _ = t.recorder.out.Write(t.lines.Bytes())
}

type key struct{}

// With returns a context that carries a trail.
func With(ctx context.Context, t *Trail) context.Context { return context.WithValue(ctx, key{}, t) }

// From returns the trail of a context, or one that goes nowhere.
func From(ctx context.Context) *Trail {
	if t, ok := ctx.Value(key{}).(*Trail); ok {
		return t
	}
	return &Trail{recorder: &Recorder{out: io.Discard, sample: 1}, log: events.Discard()}
}
