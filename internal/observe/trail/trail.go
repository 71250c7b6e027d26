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

// Recorder creates the request trails of a process.
type Recorder struct {
	out         io.Writer
	vm          string
	sampleEvery int
}

// NewRecorder returns a recorder for a VM that writes to out every trail that is
// closed with keep set and a random one in sampleEvery of the others.
func NewRecorder(out io.Writer, vm string, sampleEvery int) *Recorder {
	return &Recorder{out: out, vm: vm, sampleEvery: max(1, sampleEvery)}
}

// Trail buffers the log lines of the decisions on one request.
type Trail struct {
	recorder *Recorder
	log      events.Logger

	mu    sync.Mutex
	lines bytes.Buffer
}

// Start returns an empty trail for the request with the given id.
func (r *Recorder) Start(requestID string) *Trail {
	t := &Trail{recorder: r}
	t.log = events.NewLogger(t, zerolog.InfoLevel).With("vm", r.vm).With("request", requestID)
	return t
}

// Write appends a line to the buffer.
func (t *Trail) Write(line []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines.Write(line)
}

// Event starts a log line for an event.
func (t *Trail) Event(e events.Event) *events.Line { return t.log.Event(e) }

// Close writes the lines if keep is set or the request is chosen as a random
// sample.
func (t *Trail) Close(keep bool) {
	if !keep && rand.IntN(t.recorder.sampleEvery) != 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// The output counts its own write errors.
	_, _ = t.recorder.out.Write(t.lines.Bytes())
}

type key struct{}

// With returns a copy of ctx that carries t.
func With(ctx context.Context, t *Trail) context.Context { return context.WithValue(ctx, key{}, t) }

// From returns the trail of ctx, or a trail that discards its lines.
func From(ctx context.Context) *Trail {
	if t, ok := ctx.Value(key{}).(*Trail); ok {
		return t
	}
	return &Trail{recorder: &Recorder{out: io.Discard, sampleEvery: 1}, log: events.Discard()}
}
