package filter

import (
	"context"
	"errors"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/team/keyring"
)

// verdictWait is how long a cancelled request may take to return whether it ran.
const verdictWait = 250 * time.Millisecond

var errWriterClosed = errors.New("answer is cut")

// Revoke ends a request when its key is revoked.
type Revoke struct {
	keys  *keyring.Tracker
	clock hawthornrail.Clock
}

// NewRevoke returns the filter over a registry of the requests in flight.
func NewRevoke(keys *keyring.Tracker, clock hawthornrail.Clock) *Revoke {
	return &Revoke{keys: keys, clock: clock}
}

// Filter cancels the request's context when its key is revoked. The caller then
// receives no more of the response, even if the request itself can't be
// cancelled.
func (f *Revoke) Filter(ctx context.Context, r *hawthornrail.Request, w hawthornrail.ResponseWriter, next hawthornrail.Handler) error {
	if r.KeyID() == "" {
		return next.Serve(ctx, r, w)
	}
	keyCtx, release := f.keys.Track(ctx, r.KeyID(), r.Team())
	guarded := &guardedWriter{next: w}
	done := make(chan error, 1)
	go func() {
		defer release()
		done <- next.Serve(keyCtx, r, guarded)
	}()
	select {
	case err := <-done:
		return f.withRevocation(keyCtx, r, err)
	case <-keyCtx.Done():
	}
	if !keyring.Revoked(keyCtx) {
		return <-done
	}
	guarded.close()
	select {
	case err := <-done:
		return f.withRevocation(keyCtx, r, err)
	case <-f.clock.After(verdictWait):
		return revokedFailure(r, hawthornrail.VerdictMayHaveRun)
	}
}

// withRevocation replaces the result of a request whose key was revoked by a
// failure that says whether the request ran.
func (f *Revoke) withRevocation(keyCtx context.Context, r *hawthornrail.Request, err error) error {
	if !keyring.Revoked(keyCtx) {
		return err
	}
	return revokedFailure(r, hawthornrail.VerdictOf(err))
}

func revokedFailure(r *hawthornrail.Request, verdict hawthornrail.Verdict) error {
	return keyring.RevokedFailure(r.KeyID(), verdict)
}

// guardedWriter forwards a response until it is closed.
type guardedWriter struct {
	mu     sync.Mutex
	next   hawthornrail.ResponseWriter
	closed bool
}

// Head forwards the head.
func (w *guardedWriter) Head(status int, contentType string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return errWriterClosed
	}
	return w.next.Head(status, contentType)
}

// Chunk forwards a part.
func (w *guardedWriter) Chunk(data []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return errWriterClosed
	}
	return w.next.Chunk(data)
}

func (w *guardedWriter) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}
