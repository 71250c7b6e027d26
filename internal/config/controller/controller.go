package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/state"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/platform/client"
)

const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// Controller follows the platform's objects; it implements
// hawthornrail.Configuration.
type Controller struct {
	platform *client.Client
	clock    hawthornrail.Clock
	log      events.Logger
	snapshot atomic.Pointer[hawthornrail.Snapshot]
	current  atomic.Pointer[time.Time]

	mu    sync.Mutex
	state *state.State
}

// New returns a controller with an empty configuration.
func New(platform *client.Client, clock hawthornrail.Clock, log events.Logger) *Controller {
	c := &Controller{platform: platform, clock: clock, log: log, state: state.New()}
	now := clock.Now()
	c.current.Store(&now)
	c.snapshot.Store(hawthornrail.NewSnapshot(0, nil, nil, nil, nil))
	return c
}

// Snapshot returns the newest accepted configuration.
func (c *Controller) Snapshot() *hawthornrail.Snapshot { return c.snapshot.Load() }

// Age returns how long ago the configuration was last known to be current.
func (c *Controller) Age() time.Duration { return c.clock.Since(*c.current.Load()) }

// Run follows the platform until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	backoff := firstBackoff
	listed := false
	for ctx.Err() == nil {
		err := c.follow(ctx, listed)
		if err == nil {
			if backoff > firstBackoff {
				c.log.Event(events.PlatformBack).Emit()
			}
			listed, backoff = true, firstBackoff
			continue
		}
		if errors.Is(err, client.ErrGone) {
			listed = false
		}
		if backoff == firstBackoff {
			c.log.Event(events.PlatformLost).Err(err).Emit()
		}
		// Jitter keeps the fleet from coming back all at once after an outage.
		wait := backoff/2 + time.Duration(rand.Int64N(int64(backoff)))
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-ctx.Done():
		case <-c.clock.After(wait):
		}
	}
}

func (c *Controller) follow(ctx context.Context, listed bool) error {
	if !listed {
		l, err := c.platform.List(ctx, "")
		if err != nil {
			return err
		}
		c.take(l, true)
		c.log.Event(events.ConfigLoaded).Uint64("revision", l.Revision).Emit()
		return nil
	}
	l, err := c.platform.Watch(ctx, c.revision())
	if err != nil {
		return err
	}
	c.take(l, false)
	return nil
}

func (c *Controller) revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Revision()
}

func (c *Controller) take(l client.Listing, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.current.Store(&now)
	changed := false
	if full {
		changed = c.state.Replace(l.Objects, l.Revision)
	} else {
		changed = c.state.Change(l.Objects, c.state.Revision(), l.Revision)
	}
	if !changed {
		return
	}
	snapshot, err := c.state.Snapshot()
	if err != nil {
		c.log.Event(events.ObjectMalformed).Err(err).Emit()
	}
	c.snapshot.Store(snapshot)
	c.log.Event(events.ConfigChanged).Uint64("revision", snapshot.Revision()).Emit()
}
