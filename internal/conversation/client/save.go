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
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// sendTimeout is how long a VM may take to store a turn. It is longer than
	// saveTimeout, since a disk that is slow makes a copy in the background.
	sendTimeout = 2 * time.Second
	// backgroundTimeout bounds how long copies are made; VMs with a disk make the others.
	backgroundTimeout = 10 * time.Second
	// firstRetryPause is the pause before VMs that failed get the turn again; it doubles
	// each time, so that VMs whose disks are full get few requests.
	firstRetryPause = 200 * time.Millisecond
	// waitInterval is how often Wait looks whether the background is done.
	waitInterval = 10 * time.Millisecond
)

var errNotStored = errors.New("too few VMs with a disk have stored the turn, and the platform's store does not keep it")

// saveReply is whether a VM has a turn on disk, and how long it took to tell.
type saveReply struct {
	vm    hawthornrail.VM
	saved bool
	took  time.Duration
	// full is set if the VM has no room for further turns until roomAfter.
	full      bool
	roomAfter time.Duration
}

// keepReply is whether the platform's store has a turn.
type keepReply struct {
	kept hawthornrail.KeptTurn
	err  error
}

// save is a turn while its copies are made.
type save struct {
	client  *Client
	state   *saving
	turn    hawthornrail.Turn
	message *vmpb.Turn
	start   time.Time
	replies chan saveReply
	// keeping is set while the platform's store is asked to keep the turn, and asked from
	// then on.
	keeping bool
	asked   bool
	keeps   chan keepReply
	kept    hawthornrail.KeptTurn
	keepErr error
	// late, limit and retry fire at the times at which the state is looked at again.
	late  <-chan time.Time
	limit <-chan time.Time
	retry <-chan time.Time
	pause time.Duration
}

// Save returns once a turn is durable, and makes missing copies in the background. It is
// durable once as many disks have it that the tolerated losses leave one, or once the
// platform's store has it. Save returns a Failure if neither is so within saveTimeout.
func (c *Client) Save(ctx context.Context, t hawthornrail.Turn) error {
	s := c.newSave(t)
	// The request's context may end before the turn is stored: its response is ready, and
	// is delivered even if it is late.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	durable := s.untilDurable(ctx)
	s.report(ctx, durable)
	if !durable {
		cancel()
		return hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, errNotStored)
	}
	if s.finished() || !c.beginBackground(t.Size()) {
		cancel()
		s.countCopies()
		return nil
	}
	go func() {
		defer cancel()
		defer c.endBackground(t.Size())
		s.untilFinished(ctx)
		s.countCopies()
	}()
	return nil
}

func (c *Client) newSave(t hawthornrail.Turn) *save {
	if t.PlacementKey() == "" {
		t = t.WithPlacementKey(placement.Key("", t.Ref().ID()))
	}
	return &save{
		client: c, turn: t, message: convert.TurnToWire(t), start: c.deps.Clock.Now(), replies: make(chan saveReply), keeps: make(chan keepReply),
		state: newSaving(c.order(t.PlacementKey()), c.requiredCopies()), pause: firstRetryPause,
	}
}

// deliver makes the copies of a kept turn in the background. If there is no room for that, the
// VMs with a disk do so.
func (c *Client) deliver(ctx context.Context, kept hawthornrail.KeptTurn) {
	size := kept.Turn().Size()
	if !c.beginBackground(size) {
		return
	}
	s := c.newSave(kept.Turn())
	s.asked, s.kept, s.state.kept = true, kept, true
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		defer cancel()
		defer c.endBackground(size)
		s.sendTo(ctx, s.state.send())
		s.untilFinished(ctx)
	}()
}

// untilDurable stores the turn until it is durable or saveTimeout has passed, and reports
// which.
func (s *save) untilDurable(ctx context.Context) bool {
	c := s.client.deps.Clock
	s.late, s.limit = c.After(releaseDelay), c.After(saveTimeout)
	s.sendTo(ctx, s.state.send())
	if s.client.scarce() {
		s.keep(ctx)
	}
	for !s.state.durable() && c.Since(s.start) < saveTimeout {
		s.step(ctx)
	}
	return s.state.durable()
}

// untilFinished makes the copies that are missing, removes the turn from the platform's store
// then, and waits for the remaining replies: they show which VMs are down.
func (s *save) untilFinished(ctx context.Context) {
	c := s.client.deps.Clock
	s.limit = c.After(backgroundTimeout - c.Since(s.start))
	s.stepWhile(ctx, func() bool { return s.keeping || !s.state.complete() })
	if s.state.complete() && s.state.kept {
		s.client.deps.Handoff.Remove(ctx, s.kept)
	}
	s.stepWhile(ctx, func() bool { return s.state.pending > 0 })
}

// stepWhile steps while a condition holds, within backgroundTimeout.
func (s *save) stepWhile(ctx context.Context, condition func() bool) {
	c := s.client.deps.Clock
	for condition() && c.Since(s.start) < backgroundTimeout {
		s.step(ctx)
	}
}

// finished reports whether nothing is left to do for the turn.
func (s *save) finished() bool { return s.state.complete() && s.state.pending == 0 && !s.asked }

// step waits for a reply or for the next time at which there is something to do.
func (s *save) step(ctx context.Context) {
	s.planRetry()
	select {
	case r := <-s.replies:
		s.state.record(r.vm, r.saved)
		s.client.recordSaved(r)
		s.sendTo(ctx, s.state.send())
		if s.state.pending == 0 && !s.state.durable() {
			// Nothing is gained by waiting for the others.
			s.keep(ctx)
		}
	case r := <-s.keeps:
		s.keeping, s.kept, s.keepErr = false, r.kept, r.err
		s.state.kept = r.err == nil
	case <-s.late:
		s.late = s.client.deps.Clock.After(releaseDelay)
		s.replaceLaggards(ctx)
	case <-s.limit:
		s.limit = nil
	case <-s.retry:
		s.retry = nil
		s.state.retry(s.client.order(s.turn.PlacementKey()))
		s.sendTo(ctx, s.state.send())
	}
}

// planRetry sets the time of the next retry if VMs have failed, or none is waited for: others
// may respond again by then.
func (s *save) planRetry() {
	idle := s.state.pending == 0 && !s.state.complete()
	if s.retry != nil || len(s.state.failed) == 0 && !idle {
		return
	}
	s.retry = s.client.deps.Clock.After(s.pause)
	s.pause *= 2
}

// replaceLaggards sends the turn to other VMs and to the platform's store, since some have
// not replied in time. Once the turn is durable, there is time to wait for them.
func (s *save) replaceLaggards(ctx context.Context) {
	if s.state.durable() {
		s.late = nil
		return
	}
	for _, address := range s.state.waiting() {
		s.client.laggards.add(address, s.client.deps.Clock.Now().Add(laggardPause))
	}
	s.sendTo(ctx, s.state.sendSpare())
	s.keep(ctx)
}

// keep lets the platform's store keep the turn, unless it was asked to before.
func (s *save) keep(ctx context.Context) {
	if s.asked {
		return
	}
	s.asked, s.keeping = true, true
	left := saveTimeout - s.client.deps.Clock.Since(s.start)
	go func() {
		keepCtx, cancel := context.WithTimeout(ctx, left)
		defer cancel()
		kept, err := s.client.deps.Handoff.Keep(keepCtx, s.turn)
		select {
		case s.keeps <- keepReply{kept: kept, err: err}:
		case <-ctx.Done():
		}
	}()
}

// report counts and logs how the turn was stored.
func (s *save) report(ctx context.Context, durable bool) {
	c := s.client
	took := c.deps.Clock.Since(s.start)
	c.deps.Metrics.Saved(durable, took)
	line := trail.From(ctx).Event(events.TurnSaved).Bool("stored", durable).Int("copies", s.state.saved).Int("wanted", s.state.required).
		Bool("kept", s.state.kept).Bool("asked", s.asked).Err(s.keepErr).
		Int("failed", len(s.state.failed)).Int("no_reply", s.state.pending).Int("bytes", int(s.turn.Size()))
	line.Millis("config_age_ms", c.deps.Config.Age()).Millis("took_ms", took).Emit()
	if !durable || s.state.complete() {
		return
	}
	c.deps.Metrics.Kept()
	c.deps.Log.Event(events.TurnKept).Str("turn", s.turn.Ref().ID()).Str("team", s.turn.Ref().Team()).
		Int("copies", s.state.saved).Int("wanted", s.state.required).Int("listed", len(c.deps.Config.Snapshot().DiskVMs())).
		Int("failed", len(s.state.failed)).Int("no_reply", s.state.pending).Millis("took_ms", took).Emit()
}

func (s *save) sendTo(ctx context.Context, vms []hawthornrail.VM) {
	c := s.client.deps.Clock
	for _, vm := range vms {
		go func() {
			start := c.Now()
			r := s.client.send(ctx, vm, s.message)
			r.took = c.Since(start)
			select {
			case s.replies <- r:
			case <-ctx.Done():
			}
		}()
	}
}

func (c *Client) send(ctx context.Context, vm hawthornrail.VM, turn *vmpb.Turn) saveReply {
	open := &vmpb.Open{Kind: &vmpb.Open_TurnSave{TurnSave: &vmpb.TurnSave{Turn: turn}}}
	var reply vmpb.TurnSaveReply
	err := c.monitor.Invoke(ctx, sendTimeout, vm.Name(), vm.Address(), open, &reply)
	if err != nil {
		// Whether it has the turn is unknown; it gets the turn again.
		return saveReply{vm: vm}
	}
	return saveReply{vm: vm, saved: reply.GetSaved(), full: reply.GetFull(), roomAfter: time.Duration(reply.GetRoomAfterMs()) * time.Millisecond}
}

// countCopies counts the turn if it has fewer copies than required.
func (s *save) countCopies() {
	if s.state.complete() {
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
