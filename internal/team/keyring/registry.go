package keyring

import (
	"context"
	"errors"
	"hash/maphash"
	"sync"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const registryShards = 64

// ErrRevoked is the cancellation cause of a context whose key was revoked.
var ErrRevoked = errors.New("key is withdrawn")

// Tracker holds the requests in flight by their key and cancels them when the
// key is no longer valid for their team.
type Tracker struct {
	config hawthornrail.Configuration
	seed   maphash.Seed
	shards [registryShards]registryShard
}

type registryShard struct {
	mu       sync.Mutex
	inFlight map[*inFlightRequest]struct{}
}

type inFlightRequest struct {
	key    string
	team   string
	cancel context.CancelCauseFunc
}

// NewTracker returns an empty tracker; CancelRevoked must be called with every new
// snapshot.
func NewTracker(config hawthornrail.Configuration) *Tracker {
	t := &Tracker{config: config, seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].inFlight = make(map[*inFlightRequest]struct{})
	}
	return t
}

// Track returns a context that is cancelled with ErrRevoked once the key is no
// longer valid for the team; release removes the request from the tracker.
func (t *Tracker) Track(ctx context.Context, key, team string) (heldCtx context.Context, release func()) {
	heldCtx, cancel := context.WithCancelCause(ctx)
	request := &inFlightRequest{key: key, team: team, cancel: cancel}
	s := &t.shards[maphash.String(t.seed, key)%registryShards]
	s.mu.Lock()
	s.inFlight[request] = struct{}{}
	s.mu.Unlock()
	// The key may have been revoked between its check and this registration.
	request.cancelIfRevoked(t.config.Snapshot())
	return heldCtx, func() {
		s.mu.Lock()
		delete(s.inFlight, request)
		s.mu.Unlock()
		cancel(nil)
	}
}

// CancelRevoked cancels the requests whose key is not valid in a new snapshot.
func (t *Tracker) CancelRevoked(snapshot *hawthornrail.Snapshot) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for request := range s.inFlight {
			request.cancelIfRevoked(snapshot)
		}
		s.mu.Unlock()
	}
}

func (r *inFlightRequest) cancelIfRevoked(snapshot *hawthornrail.Snapshot) {
	if !Valid(snapshot, r.key, r.team) {
		r.cancel(ErrRevoked)
	}
}

// Revoked reports whether a context ended because its key was revoked.
func Revoked(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrRevoked) }
