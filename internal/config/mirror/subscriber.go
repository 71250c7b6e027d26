package mirror

import (
	"context"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

const (
	// longPollWait bounds how long a followed VM may delay its reply until
	// there is a change.
	longPollWait = 2 * time.Second
	// candidateRetryInterval is the pause before a slot that found no VM to
	// follow tries again.
	candidateRetryInterval = 400 * time.Millisecond
	// expiryCheckInterval is the shortest pause between two checks whether the
	// sources have expired.
	expiryCheckInterval = 100 * time.Millisecond
)

// Subscriber follows VMs of its data centre that watch the store, which keeps
// the number of store watches independent of the number of VMs.
type Subscriber struct {
	watchRole   *WatchRole
	exchange    *Exchange
	storeHealth *StoreHealth
	clock       hawthornrail.Clock
	log         events.Logger
}

// NewSubscriber returns a subscriber that sends its requests through an
// exchange.
func NewSubscriber(d *WatchRole, e *Exchange, c *StoreHealth, clock hawthornrail.Clock, log events.Logger) *Subscriber {
	return &Subscriber{watchRole: d, exchange: e, storeHealth: c, clock: clock, log: log}
}

// Run keeps one slot of the watch role filled until ctx ends.
func (s *Subscriber) Run(ctx context.Context, slot int) {
	for ctx.Err() == nil {
		address, followed, ok := s.watchRole.Acquire(slot, s.clock.Now())
		if !ok {
			clock.Wait(ctx, s.clock, candidateRetryInterval)
			continue
		}
		wait := time.Duration(0)
		if followed {
			wait = longPollWait
		}
		status, err := s.exchange.request(ctx, address, wait, s.storeHealth.SourceReported)
		if err != nil || !s.storeHealth.UpToDate(status, s.clock.Now()) {
			s.watchRole.Failed(slot, address, s.clock.Now())
			if followed {
				s.log.Event(events.SourceLost).Str("source", address).Bool("watching", status.watching).Bool("lost", status.Lost()).
					Millis("confirmed_ms_ago", s.clock.Since(status.confirmed)).Err(err).Emit()
			}
			continue
		}
		if status.applied {
			s.storeHealth.Relayed(status.confirmed)
		}
		s.watchRole.Followed(slot, address)
		if !followed {
			s.log.Event(events.SourceFollowed).Str("source", address).Emit()
		}
	}
}

// ExpireSources lets this VM watch the store itself while no VM that it could
// follow is up to date, until ctx ends.
func (s *Subscriber) ExpireSources(ctx context.Context) {
	for {
		expireIn := s.storeHealth.SourcesExpireIn(s.clock.Now())
		s.watchRole.SetSourcesExpired(expireIn == 0)
		if !clock.Wait(ctx, s.clock, max(expireIn, expiryCheckInterval)) {
			return
		}
	}
}
