package home

import (
	"context"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	serviceTimeout   = 5 * time.Minute
	recordRetryDelay = 500 * time.Millisecond
	replaceDelay     = 50 * time.Millisecond
	maxRecordDelay   = 10 * time.Second
)

// detach returns a context that outlives the caller, because cancelling a
// request that may not be repeated would leave it open whether it ran.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithTimeout(detached, serviceTimeout)
}

// record replicates the outcome even when the caller has gone. If that fails,
// it is tried again in the background, and until then the call may have run.
func (c *call) record(answer hawthornrail.Answer, err error) error {
	outcome := hawthornrail.NewAnsweredOutcome(c.key.program, c.key.number, answer.Status(), answer.ContentType(), answer.Body()).
		WithReply(answer.Reply()).WithUsedTokens(answer.Usage().Total())
	if err != nil {
		f := hawthornrail.AsFailure(err)
		outcome = hawthornrail.NewOutcome(c.key.program, c.key.number, f.Verdict(), f.Code())
	}
	if err == nil && c.request.EndsProgram() {
		outcome = outcome.WithEnd(reasonCompleted)
	}
	recordErr := c.recordSoon(outcome)
	if recordErr == nil {
		return nil
	}
	c.recording = true
	c.home.recording.Add(1)
	c.markUnrecorded(true)
	go func() {
		defer c.home.recording.Add(-1)
		defer c.release()
		defer c.markUnrecorded(false)
		c.home.recordLater(c.entry, outcome)
	}()
	if c.entry.settled(outcome) {
		return nil
	}
	return unrecordedFailure(recordErr)
}

func unrecordedFailure(err error) error {
	f := hawthornrail.NewFailure(hawthornrail.AsFailure(err).Code(), hawthornrail.VerdictMayHaveRun, err)
	return f.WithRetryAfter(recordRetryDelay)
}

func (c *call) markUnrecorded(unrecorded bool) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	if c.entry.unrecorded == nil {
		c.entry.unrecorded = make(map[callKey]bool)
	}
	if unrecorded {
		c.entry.unrecorded[c.key] = true
		return
	}
	delete(c.entry.unrecorded, c.key)
}

// repeated refuses a repeat of a call whose outcome is known but not
// replicated: it would wait for as long as the replica is away.
func (c *call) repeated() error {
	if !c.entry.unrecorded[c.key] {
		return nil
	}
	return unrecordedFailure(hawthornrail.NotRun(hawthornrail.CodeReplicaUnreached, "the outcome of the call is not replicated yet"))
}

// recordSoon repeats record while the backup is being replaced, so that the
// caller of a call that ran meanwhile gets its answer.
func (c *call) recordSoon(outcome hawthornrail.Outcome) error {
	k := c.home.parts.Clock
	for start := k.Now(); ; k.Sleep(replaceDelay) {
		err := c.home.record(c.entry, outcome)
		replacing := err != nil && hawthornrail.AsFailure(err).Code() == hawthornrail.CodeReplicaUnreached
		if !replacing || k.Since(start) > recordTimeout || !c.home.parts.Replicator.Holds(c.id.Home()) {
			return err
		}
	}
}

// record takes the step that follows a call, unless it was taken.
func (h *Home) record(e *entry, outcome hawthornrail.Outcome) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	p, err := e.tree.Program(outcome.Program())
	if err != nil {
		return ledgerFailure(err)
	}
	if !p.Call(outcome.Number()).Pending() {
		return nil
	}
	return h.step(ctx, e, outcome)
}

// recordLater repeats record until it succeeds or the program has moved.
func (h *Home) recordLater(e *entry, outcome hawthornrail.Outcome) {
	delay := recordRetryDelay
	for {
		h.parts.Clock.Sleep(delay)
		err := h.record(e, outcome)
		if err == nil || hawthornrail.AsFailure(err).Code() == hawthornrail.CodeMoved {
			return
		}
		delay = min(2*delay, maxRecordDelay)
	}
}

// Recording returns the number of calls whose outcome is not replicated yet.
func (h *Home) Recording() int { return int(h.recording.Load()) }

// settled reports whether the tree holds the outcome of the call.
func (e *entry) settled(outcome hawthornrail.Outcome) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, err := e.tree.Program(outcome.Program())
	return err == nil && !p.Call(outcome.Number()).Pending()
}
