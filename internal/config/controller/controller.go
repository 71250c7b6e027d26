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
	idlePeriod   = 100 * time.Millisecond
)

// Update is what the platform or another VM says of the configuration: the
// objects changed after revision Since and up to Revision, or all if Full, and
// how long ago that was current.
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
	platform *client.Client
	clock    hawthornrail.Clock
	log      events.Logger
	snapshot atomic.Pointer[hawthornrail.Snapshot]
	current  atomic.Pointer[time.Time]

	mu       sync.Mutex
	state    *state.State
	changed  chan struct{}
	onChange []func(*hawthornrail.Snapshot)
}

// New returns a controller with an empty configuration.
func New(platform *client.Client, clock hawthornrail.Clock, log events.Logger) *Controller {
	c := &Controller{platform: platform, clock: clock, log: log, state: state.New(), changed: make(chan struct{})}
	now := clock.Now()
	c.current.Store(&now)
	c.snapshot.Store(hawthornrail.NewSnapshot(0, nil, nil, nil, nil))
	return c
}

// Snapshot returns the newest accepted configuration.
func (c *Controller) Snapshot() *hawthornrail.Snapshot { return c.snapshot.Load() }

// Age returns how long ago the configuration was last known to be current.
func (c *Controller) Age() time.Duration { return c.clock.Since(*c.current.Load()) }

// OnChange makes the controller call f with every new snapshot; it must be
// set before Run.
func (c *Controller) OnChange(f func(*hawthornrail.Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = append(c.onChange, f)
}

// Changed returns a channel that is closed when the configuration changes or
// is known to be current once more.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Since returns what another VM that holds a revision needs; nothing but the
// age if that VM is ahead.
func (c *Controller) Since(revision uint64) Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := Update{Since: revision, Revision: c.state.Revision(), Age: c.Age()}
	if revision < u.Revision {
		u.Objects, u.Full = c.state.Since(revision)
	}
	return u
}

// Take takes an update and reports whether the state is complete up to the
// update's revision and no further; an older update changes nothing.
func (c *Controller) Take(u Update) bool {
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
		changed = c.state.Change(u.Objects, u.Since, u.Revision)
	}
	if c.state.Revision() != u.Revision {
		return false
	}
	known := c.clock.Now().Add(-u.Age)
	if known.After(*c.current.Load()) {
		c.current.Store(&known)
	}
	switch {
	case changed:
		c.swap()
	case c.state.Revision() != before:
		c.snapshot.Store(c.Snapshot().AtRevision(c.state.Revision()))
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

func (c *Controller) swap() {
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

// Run follows the platform until ctx ends, at the times when wanted says so;
// it calls advanced when the platform had something new.
func (c *Controller) Run(ctx context.Context, wanted func() bool, advanced func()) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if !wanted() {
			c.pause(ctx, idlePeriod)
			continue
		}
		before := c.Snapshot().Revision()
		err := c.follow(ctx)
		if err == nil {
			if backoff > firstBackoff {
				c.log.Event(events.PlatformBack).Emit()
			}
			backoff = firstBackoff
			if c.Snapshot().Revision() > before {
				advanced()
			}
			continue
		}
		if backoff == firstBackoff {
			c.log.Event(events.PlatformLost).Err(err).Emit()
		}
		// Jitter keeps the fleet from coming back all at once after an outage.
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
		return c.take(Update{Revision: l.Revision, Full: true, Objects: l.Objects}, err)
	}
	l, err := c.platform.Watch(ctx, since)
	if errors.Is(err, hawthornrail.ErrHistoryGone) {
		l, err = c.platform.List(ctx, "")
		return c.take(Update{Revision: l.Revision, Full: true, Objects: l.Objects}, err)
	}
	return c.take(Update{Since: since, Revision: l.Revision, Objects: l.Objects}, err)
}

func (c *Controller) take(u Update, err error) error {
	if err != nil {
		return err
	}
	c.Take(u)
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
