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
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/platform/client"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
)

const (
	firstBackoff = time.Second
	maxBackoff   = 2 * time.Second
	idleInterval = 100 * time.Millisecond
)

// Update is what the platform or another VM reports of the configuration: the
// objects changed after revision Since and up to Revision, or all objects if
// Full, and how long ago that was current.
type Update struct {
	Since    uint64
	Revision uint64
	Full     bool
	Age      time.Duration
	Objects  []objects.Object
}

// Controller holds the configuration in force and follows the platform's
// objects; it implements hawthornrail.Configuration.
type Controller struct {
	platform    *client.Client
	clock       hawthornrail.Clock
	log         events.Logger
	snapshot    atomic.Pointer[hawthornrail.Snapshot]
	currentAsOf atomic.Pointer[time.Time]

	mu         sync.Mutex
	state      *state.State
	nextUpdate chan struct{}
	onChange   []func(*hawthornrail.Snapshot)
}

// New returns a controller with an empty configuration.
func New(platform *client.Client, clock hawthornrail.Clock, log events.Logger) *Controller {
	c := &Controller{platform: platform, clock: clock, log: log, state: state.New(), nextUpdate: make(chan struct{})}
	now := clock.Now()
	c.currentAsOf.Store(&now)
	c.snapshot.Store(hawthornrail.NewSnapshot(0, nil, nil, nil, nil))
	return c
}

// Snapshot returns the newest accepted configuration.
func (c *Controller) Snapshot() *hawthornrail.Snapshot { return c.snapshot.Load() }

// Age returns how long ago the configuration was last known to be current.
func (c *Controller) Age() time.Duration { return c.clock.Since(*c.currentAsOf.Load()) }

// OnChange makes the controller call f with every new snapshot; it must be
// set before Run.
func (c *Controller) OnChange(f func(*hawthornrail.Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = append(c.onChange, f)
}

// NextUpdate returns a channel that is closed when the configuration changes or
// is again known to be current.
func (c *Controller) NextUpdate() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nextUpdate
}

// UpdateSince returns the update for another VM that holds a revision; it
// contains no objects if that VM is not behind.
func (c *Controller) UpdateSince(revision uint64) Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := Update{Since: revision, Revision: c.state.Revision(), Age: c.Age()}
	if revision < u.Revision {
		u.Objects, u.Full = c.state.Since(revision)
	}
	return u
}

// Apply applies an update and reports whether the state is complete up to
// exactly the update's revision. An update older than the state changes
// nothing.
func (c *Controller) Apply(u Update) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Revision < c.state.Revision() {
		return false
	}
	before := c.state.Revision()
	changed := false
	if u.Full {
		changed = c.state.Replace(u.Objects, u.Revision)
	} else {
		changed = c.state.ApplyChanges(u.Objects, u.Since, u.Revision)
	}
	if c.state.Revision() != u.Revision {
		return false
	}
	asOf := c.clock.Now().Add(-u.Age)
	if asOf.After(*c.currentAsOf.Load()) {
		c.currentAsOf.Store(&asOf)
	}
	switch {
	case changed:
		c.publishLocked()
	case c.state.Revision() != before:
		c.snapshot.Store(c.Snapshot().AtRevision(c.state.Revision()))
	}
	close(c.nextUpdate)
	c.nextUpdate = make(chan struct{})
	return true
}

func (c *Controller) publishLocked() {
	snapshot, err := c.state.Snapshot()
	if err != nil {
		c.log.Event(events.ObjectMalformed).Err(err).Emit()
	}
	c.snapshot.Store(snapshot)
	c.log.Event(events.ConfigChanged).Uint64("revision", snapshot.Revision()).Emit()
	for _, f := range c.onChange {
		f(snapshot)
	}
}

// Run follows the platform until ctx ends, whenever shouldWatch returns true.
// It calls onAdvance after the platform sent a later revision.
func (c *Controller) Run(ctx context.Context, shouldWatch func() bool, onAdvance func()) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if !shouldWatch() {
			c.pause(ctx, idleInterval)
			continue
		}
		before := c.Snapshot().Revision()
		err := c.follow(ctx)
		if err == nil {
			if backoff > firstBackoff {
				c.log.Event(events.PlatformResponsive).Emit()
			}
			backoff = firstBackoff
			if c.Snapshot().Revision() > before {
				onAdvance()
			}
			continue
		}
		if backoff == firstBackoff {
			c.log.Event(events.PlatformUnresponsive).Err(err).Emit()
		}
		// Jitter prevents the whole fleet from calling the platform at the same
		// moment after an outage.
		c.pause(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Controller) pause(ctx context.Context, wait time.Duration) {
	clock.Wait(ctx, c.clock, wait)
}

func (c *Controller) follow(ctx context.Context) error {
	since := c.revision()
	if since == 0 {
		l, err := c.platform.List(ctx, "")
		return c.applyResult(Update{Revision: l.Revision, Full: true, Objects: l.Objects}, err)
	}
	l, err := c.platform.Watch(ctx, since)
	if errors.Is(err, hawthornrail.ErrHistoryCompacted) {
		l, err = c.platform.List(ctx, "")
		return c.applyResult(Update{Revision: l.Revision, Full: true, Objects: l.Objects}, err)
	}
	return c.applyResult(Update{Since: since, Revision: l.Revision, Objects: l.Objects}, err)
}

func (c *Controller) applyResult(u Update, err error) error {
	if err != nil {
		return err
	}
	c.Apply(u)
	if u.Full {
		c.log.Event(events.ConfigLoaded).Uint64("revision", u.Revision).Emit()
	}
	return nil
}

func (c *Controller) revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Revision()
}
