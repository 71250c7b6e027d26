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
	// watchWait is how long a watch waits for a change. Dead connections show
	// earlier, by their keep-alive probes.
	watchWait = 10 * time.Second
	// watchPause is the time between two watches, so that changes which come
	// close together cost one call.
	watchPause = 150 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// Follower keeps a mirror up to date with a store.
type Follower struct {
	mirror  *Mirror
	contact *Contact
	duty    *Duty
	source  hawthornrail.ObjectSource
	clock   hawthornrail.Clock
	log     events.Logger
}

// NewFollower returns a follower that has not called the store yet; it records
// in contact how the store answers.
func NewFollower(m *Mirror, contact *Contact, duty *Duty, source hawthornrail.ObjectSource, clock hawthornrail.Clock, log events.Logger) *Follower {
	return &Follower{mirror: m, contact: contact, duty: duty, source: source, clock: clock, log: log}
}

// Follow keeps one kind up to date until ctx ends: it lists the kind once, and
// watches it while that is this VM's duty.
func (f *Follower) Follow(ctx context.Context, kind string) {
	backoff := firstBackoff
	// A first list may be old, since the watch after it catches up.
	list := f.source.ListCached
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			f.awaitDuty(ctx, kind)
			err = f.watch(ctx, kind)
		} else {
			err = f.list(ctx, kind, list)
			list = f.source.List
		}
		// Whatever failed, only a list is sure to miss nothing.
		listed = err == nil
		pause := watchPause
		if err == nil || errors.Is(err, hawthornrail.ErrHistoryGone) {
			backoff = firstBackoff
		} else {
			pause = backoff/2 + rand.N(backoff)
			backoff = min(2*backoff, maxBackoff)
		}
		clock.Wait(ctx, f.clock, pause)
	}
}

// list and watch record the answer before its objects are told of: whether an
// object that is missing may come back depends on it.
func (f *Follower) list(ctx context.Context, kind string, list lister) error {
	objects, err := list(ctx, kind)
	f.report(kind, err)
	if err != nil {
		return err
	}
	f.mirror.Replace(kind, objects)
	return nil
}

type lister func(ctx context.Context, kind string) (hawthornrail.ObjectChanges, error)

// awaitDuty returns once this VM is to watch the store.
func (f *Follower) awaitDuty(ctx context.Context, kind string) {
	for {
		watching, changed := f.duty.Watching()
		if watching {
			return
		}
		f.contact.Rest(kind)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) watch(ctx context.Context, kind string) error {
	since := f.mirror.Revision(kind)
	changes, err := f.source.Watch(ctx, kind, since, watchWait)
	f.report(kind, err)
	if err != nil {
		return err
	}
	if !f.mirror.Change(kind, since, changes) {
		return hawthornrail.ErrHistoryGone
	}
	return nil
}

// report records whether the store answered, and logs when it is lost and
// regained.
func (f *Follower) report(kind string, err error) {
	if err == nil || errors.Is(err, hawthornrail.ErrHistoryGone) {
		if f.contact.Answered(kind, f.clock.Now()) {
			f.log.Event(events.PlatformBack).Str("kind", kind).Uint64("revision", f.mirror.Revision(kind)).
				Int("settling_ms", int(f.contact.Settling(f.clock.Now()).Milliseconds())).Emit()
		}
		return
	}
	if f.contact.Failed(kind) {
		f.log.Event(events.PlatformLost).Str("kind", kind).Uint64("revision", f.mirror.Revision(kind)).Err(err).Emit()
	}
}
