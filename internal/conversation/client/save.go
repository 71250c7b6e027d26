package client

import (
	"context"
	"errors"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
	"hawthornrail.example/hawthornrail/internal/policy/placement"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// sendTimeout is how long a VM may take to store a turn. It is longer than
	// saveTimeout, since a disk that is slow makes a copy in the background.
	sendTimeout = 2 * time.Second
	// backgroundTimeout bounds how long copies are made; repair makes the others.
	backgroundTimeout = 10 * time.Second
	// firstRetryPause is the pause before VMs that failed get the turn again; it doubles
	// each time, so that VMs whose disks are full get few requests.
	firstRetryPause = 200 * time.Millisecond
	// waitInterval is how often Wait looks whether the background is done.
	waitInterval = 10 * time.Millisecond
)

var errNotStored = errors.New("no VM with a disk has stored the turn")

// saveReply is whether a VM has a turn on disk.
type saveReply struct {
	vm    hawthornrail.VM
	saved bool
}

// save is a turn while its copies are made.
type save struct {
	client  *Client
	state   *saving
	turn    *vmpb.Turn
	copies  int
	start   time.Time
	replies chan saveReply
	// late, limit and retry fire at the times at which the state is looked at again.
	late  <-chan time.Time
	limit <-chan time.Time
	retry <-chan time.Time
	pause time.Duration
}

// Save returns once enough copies of a turn are on disk, and makes the others in the
// background. It returns a Failure if there is no copy within saveTimeout.
func (c *Client) Save(ctx context.Context, t hawthornrail.Turn) error {
	s := c.newSave(t)
	// The request's context may end before the turn is stored: its response is ready, and
	// is delivered even if it is late.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stored := s.untilReleased(ctx)
	took := c.deps.Clock.Since(s.start)
	c.deps.Metrics.Saved(stored, took)
	trail.From(ctx).Event(events.TurnSaved).Bool("stored", stored).Int("copies", s.state.saved).Int("wanted", s.copies).
		Int("failed", len(s.state.failed)).Int("no_reply", s.state.pending).Int("bytes", int(t.Size())).
		Int("config_age_ms", int(c.deps.Config.Age().Milliseconds())).Int("took_ms", int(took.Milliseconds())).Emit()
	if !stored {
		cancel()
		return hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, errNotStored)
	}
	if s.state.complete() || !c.beginBackground(t.Size()) {
		cancel()
		s.countCopies()
		return nil
	}
	go func() {
		defer cancel()
		defer c.endBackground(t.Size())
		s.untilComplete(ctx)
		s.countCopies()
	}()
	return nil
}

func (c *Client) newSave(t hawthornrail.Turn) *save {
	key := t.PlacementKey()
	if key == "" {
		key = placement.Key("", t.Ref().ID())
	}
	copies := placement.Copies(c.deps.ToleratedDiskLosses)
	return &save{
		client: c, turn: turnToWire(t.WithPlacementKey(key)), copies: copies, start: c.deps.Clock.Now(), replies: make(chan saveReply),
		state: newSaving(c.deps.Config.Snapshot().DiskVMs(), key, copies, c.monitor.Suspected), pause: firstRetryPause,
	}
}

// untilReleased makes copies until the end of the response is released, and reports
// whether it is.
func (s *save) untilReleased(ctx context.Context) bool {
	c := s.client.deps.Clock
	s.late, s.limit = c.After(releaseDelay), c.After(saveTimeout)
	s.sendTo(ctx, s.state.send())
	for {
		if released, brokenOff := s.state.decide(c.Since(s.start)); released || brokenOff {
			return released
		}
		s.step(ctx)
	}
}

// untilComplete makes the copies that are missing.
func (s *save) untilComplete(ctx context.Context) {
	c := s.client.deps.Clock
	s.limit = c.After(backgroundTimeout - c.Since(s.start))
	for !s.state.complete() && c.Since(s.start) < backgroundTimeout {
		s.step(ctx)
	}
}

// step waits for a reply or for the next time at which there is something to do.
func (s *save) step(ctx context.Context) {
	select {
	case r := <-s.replies:
		s.state.record(r.vm, r.saved)
		s.sendTo(ctx, s.state.send())
	case <-s.late:
		s.late = nil
		if s.state.saved == 0 {
			s.sendTo(ctx, s.state.sendSpare())
		}
	case <-s.limit:
		s.limit = nil
	case <-s.retry:
		s.retry = nil
		s.state.retry()
		s.sendTo(ctx, s.state.send())
	}
	if len(s.state.failed) > 0 && s.retry == nil {
		s.retry = s.client.deps.Clock.After(s.pause)
		s.pause *= 2
	}
}

func (s *save) sendTo(ctx context.Context, vms []hawthornrail.VM) {
	for _, vm := range vms {
		go func() {
			r := saveReply{vm: vm, saved: s.client.send(ctx, vm, s.turn)}
			select {
			case s.replies <- r:
			case <-ctx.Done():
			}
		}()
	}
}

func (c *Client) send(ctx context.Context, vm hawthornrail.VM, turn *vmpb.Turn) bool {
	open := &vmpb.Open{Kind: &vmpb.Open_TurnSave{TurnSave: &vmpb.TurnSave{Turn: turn}}}
	var reply vmpb.TurnSaveReply
	err := c.monitor.Invoke(ctx, sendTimeout, vm.Name(), vm.Address(), open, &reply)
	return err == nil && reply.GetSaved()
}

// countCopies counts the turn if it has fewer copies than required.
func (s *save) countCopies() {
	if s.state.saved >= s.copies {
		return
	}
	s.client.deps.Metrics.SavedShort()
}

// beginBackground reports whether a turn of a size may still be saved after its response
// has ended.
func (c *Client) beginBackground(bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.background+bytes > c.deps.BackgroundBytes {
		return false
	}
	c.background += bytes
	return true
}

func (c *Client) endBackground(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.background -= bytes
}

// Background returns the size of the turns whose copies are made in the background.
func (c *Client) Background() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.background
}

// Wait waits until no copies are made in the background or ctx ends.
func (c *Client) Wait(ctx context.Context) {
	for c.Background() > 0 && clock.Wait(ctx, c.deps.Clock, waitInterval) {
	}
}
