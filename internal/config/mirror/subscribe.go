package mirror

import (
	"context"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
)

const (
	// followWait is how long a VM that is followed may hold its answer back
	// until there is a change.
	followWait = 2 * time.Second
	// idlePause is the time after which a VM to follow is looked for again.
	idlePause = 400 * time.Millisecond
)

// Subscriber follows VMs of the same data centre that watch the store, so that
// not every VM has to.
type Subscriber struct {
	duty     *Duty
	exchange *Exchange
	contact  *Contact
	clock    hawthornrail.Clock
}

// NewSubscriber returns a subscriber that asks through an exchange.
func NewSubscriber(d *Duty, e *Exchange, c *Contact, clock hawthornrail.Clock) *Subscriber {
	return &Subscriber{duty: d, exchange: e, contact: c, clock: clock}
}

// Run keeps one of the places of the duty filled until ctx ends.
func (s *Subscriber) Run(ctx context.Context, place int) {
	for ctx.Err() == nil {
		address, followed, ok := s.duty.Take(place, s.clock.Now())
		if !ok {
			clock.Wait(ctx, s.clock, idlePause)
			continue
		}
		wait := time.Duration(0)
		if followed {
			wait = followWait
		}
		reply, err := s.exchange.ask(ctx, address, wait, s.contact.Followed)
		if err != nil || !reply.watching || reply.Lost() {
			s.duty.Failed(place, address, s.clock.Now())
			continue
		}
		s.duty.Followed(place, address)
	}
}
