package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

const (
	// watchTimeout is how long a watch waits for a change. Dead connections are
	// detected earlier, by their keep-alive probes.
	watchTimeout = 10 * time.Second
	// heartbeatShare is the fraction of the time until a change has to be in force
	// for which a watch of the heartbeat kind waits. Its responses confirm that this
	// VM still receives all changes.
	heartbeatShare = 0.375
	// minHeartbeatTimeout keeps the number of calls to the store low.
	minHeartbeatTimeout = 100 * time.Millisecond
	// catchUpTimeout is the wait of a watch that only fetches what was missed.
	catchUpTimeout = time.Millisecond
	// maxListed is the number of objects up to which a list is smaller than the changes
	// that were missed, each of which holds a whole object.
	maxListed = 8
	// watchInterval is the pause between two watches; changes in quick
	// succession are then fetched with one call.
	watchInterval = 150 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// storeSource is the source of changes that were read from the store.
	storeSource = "store"
)

// Follower keeps a mirror up to date with a store.
type Follower struct {
	mirror      *Mirror
	storeHealth *StoreHealth
	watchRole   *WatchRole
	// heartbeatKind is the kind that is watched with short waits.
	heartbeatKind    string
	heartbeatTimeout time.Duration
	// boundedTimeouts are how long the watches of the further kinds wait whose changes
	// have to be in force within a time.
	boundedTimeouts map[string]time.Duration
	source          hawthornrail.ObjectSource
	clock           hawthornrail.Clock
	log             events.Logger
}

// FollowerDependencies are the dependencies of a Follower.
type FollowerDependencies struct {
	Mirror      *Mirror
	StoreHealth *StoreHealth
	WatchRole   *WatchRole
	// HeartbeatKind is the kind whose watches are kept short, because their
	// responses confirm that the VM is up to date.
	HeartbeatKind string
	// InForce is how long a change may take until it is in force.
	InForce time.Duration
	// BoundedKinds are further kinds, each with how long a change may take until it is
	// in force.
	BoundedKinds map[string]time.Duration
	Source       hawthornrail.ObjectSource
	Clock        hawthornrail.Clock
	Log          events.Logger
}

// NewFollower returns a follower that has not called the store yet; it records
// in storeHealth how the store responds.
func NewFollower(p FollowerDependencies) *Follower {
	boundedTimeouts := make(map[string]time.Duration, len(p.BoundedKinds))
	for kind, inForce := range p.BoundedKinds {
		boundedTimeouts[kind] = timeoutFor(inForce)
	}
	return &Follower{
		mirror: p.Mirror, storeHealth: p.StoreHealth, watchRole: p.WatchRole, heartbeatKind: p.HeartbeatKind,
		heartbeatTimeout: timeoutFor(p.InForce), boundedTimeouts: boundedTimeouts,
		source: p.Source, clock: p.Clock, log: p.Log,
	}
}

// timeoutFor returns how long the watches of a kind wait whose changes have to be in
// force after a time.
func timeoutFor(inForce time.Duration) time.Duration {
	return max(minHeartbeatTimeout, time.Duration(heartbeatShare*float64(inForce)))
}

// Follow keeps one kind up to date until ctx ends: it lists the kind once, and
// watches it while this VM has to watch the store.
func (f *Follower) Follow(ctx context.Context, kind string) {
	backoff := firstBackoff
	// A cached list may be some seconds old; the next step catches up with the store.
	err := f.list(ctx, kind, f.source.ListCached)
	caughtUp := false
	for ctx.Err() == nil {
		switch {
		case err != nil && !errors.Is(err, hawthornrail.ErrHistoryCompacted):
			clock.Wait(ctx, f.clock, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		case err != nil || caughtUp:
			backoff = firstBackoff
			clock.Wait(ctx, f.clock, watchInterval)
		}
		err = f.step(ctx, kind, caughtUp, err)
		caughtUp = err == nil
	}
}

// step makes the next call to the store. Before this VM waits for changes, it
// catches up with those that it missed.
func (f *Follower) step(ctx context.Context, kind string, caughtUp bool, previous error) error {
	switch {
	case !caughtUp && (f.mirror.Size(kind) <= maxListed || needsList(previous)):
		return f.listCurrent(ctx, kind)
	case !caughtUp:
		return f.watch(ctx, kind, catchUpTimeout)
	default:
		f.awaitWatchRole(ctx, kind)
		return f.watch(ctx, kind, f.watchTimeout(kind))
	}
}

// needsList reports whether the changes since the held revision can't be had.
func needsList(err error) bool {
	return errors.Is(err, hawthornrail.ErrHistoryCompacted) || errors.Is(err, hawthornrail.ErrChangesUnreadable)
}

// list and watch record the response before they apply its objects, because the
// settling period decides whether missing objects are kept.
func (f *Follower) list(ctx context.Context, kind string, list listFunc) error {
	objects, err := list(ctx, kind)
	f.recordResult(kind, err)
	if err != nil {
		return err
	}
	f.mirror.Replace(kind, objects.WithSource(storeSource))
	return nil
}

// listCurrent lists the kind as the store holds it now.
func (f *Follower) listCurrent(ctx context.Context, kind string) error {
	sent := f.clock.Now()
	if err := f.list(ctx, kind, f.source.List); err != nil {
		return err
	}
	f.confirm(kind, sent)
	return nil
}

type listFunc func(ctx context.Context, kind string) (hawthornrail.ObjectChanges, error)

// awaitWatchRole returns once this VM has to watch the store.
func (f *Follower) awaitWatchRole(ctx context.Context, kind string) {
	watching, changed := f.watchRole.Watching()
	if watching {
		return
	}
	f.storeHealth.StopTracking(kind)
	f.log.Event(events.WatchStopped).Str("kind", kind).Uint64("revision", f.mirror.Revision(kind)).Emit()
	for !watching {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		watching, changed = f.watchRole.Watching()
	}
	f.log.Event(events.WatchStarted).Str("kind", kind).Uint64("revision", f.mirror.Revision(kind)).Emit()
}

func (f *Follower) watch(ctx context.Context, kind string, timeout time.Duration) error {
	since, sent := f.mirror.Revision(kind), f.clock.Now()
	changes, err := f.source.Watch(ctx, kind, since, timeout)
	f.recordResult(kind, err)
	if err != nil {
		return err
	}
	if !f.mirror.ApplyChanges(kind, since, changes.WithSource(storeSource)) {
		return hawthornrail.ErrHistoryCompacted
	}
	// The store waits no longer than asked; the response may have been held up since.
	waited := sent.Add(timeout)
	if now := f.clock.Now(); now.Before(waited) {
		waited = now
	}
	f.confirm(kind, waited)
	return nil
}

// confirm records that the store confirmed at a time that this VM is up to date.
func (f *Follower) confirm(kind string, at time.Time) {
	if kind == f.heartbeatKind {
		f.storeHealth.Confirmed(at)
		return
	}
	f.storeHealth.ConfirmedKind(kind, at)
}

func (f *Follower) watchTimeout(kind string) time.Duration {
	if kind == f.heartbeatKind {
		return f.heartbeatTimeout
	}
	if timeout, ok := f.boundedTimeouts[kind]; ok {
		return timeout
	}
	return watchTimeout
}

// recordResult records whether the store responded, and logs when it is lost
// and regained.
func (f *Follower) recordResult(kind string, err error) {
	if err == nil || errors.Is(err, hawthornrail.ErrHistoryCompacted) {
		if f.storeHealth.Responded(kind, f.clock.Now()) {
			f.log.Event(events.PlatformResponsive).Str("kind", kind).Uint64("revision", f.mirror.Revision(kind)).
				Millis("settling_ms", f.storeHealth.Settling(f.clock.Now())).Emit()
		}
		return
	}
	if f.storeHealth.Failed(kind) {
		f.log.Event(events.PlatformUnresponsive).Str("kind", kind).Uint64("revision", f.mirror.Revision(kind)).Err(err).Emit()
	}
}
