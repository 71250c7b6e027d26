package home

import (
	"context"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	serviceTimeout    = 5 * time.Minute
	recordRetryDelay  = 500 * time.Millisecond
	replaceRetryDelay = 50 * time.Millisecond
	maxRecordDelay    = 10 * time.Second
)

// detach returns a context that is not cancelled with the caller's: after
// cancelling a non-idempotent request, it would be unknown whether it ran.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithTimeout(detached, serviceTimeout)
}

// record replicates the outcome even if the caller has disconnected. If that
// fails, it is retried in the background, and the call is reported as one that
// may have run.
func (c *call) record(response hawthornrail.Response, err error) error {
	outcome := hawthornrail.NewResponseOutcome(c.key.program, c.key.number, response.Status(), response.ContentType(), response.Body()).
		WithMessage(response.Message()).WithUsedTokens(response.Usage().Total())
	if err != nil {
		f := hawthornrail.AsFailure(err)
		outcome = hawthornrail.NewOutcome(c.key.program, c.key.number, f.Verdict(), f.Code())
	}
	if err == nil && c.request.EndsProgram() {
		outcome = outcome.WithEnd(reasonCompleted)
	}
	recordErr := c.recordWithRetry(outcome)
	if recordErr == nil {
		return nil
	}
	c.recording = true
	c.home.recording.Add(1)
	c.markUnrecorded(true)
	go func() {
		defer c.home.recording.Add(-1)
		defer c.releaseClaim()
		defer c.markUnrecorded(false)
		c.home.recordInBackground(c.entry, outcome)
	}()
	if c.entry.hasOutcome(outcome) {
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

// checkUnrecorded rejects a repeat of a call whose outcome is known but not yet
// replicated: it would otherwise wait until the backup is reachable again.
func (c *call) checkUnrecorded() error {
	if !c.entry.unrecorded[c.key] {
		return nil
	}
	return unrecordedFailure(hawthornrail.NotRun(hawthornrail.CodeReplicaUnreachable, "the outcome of the call is not replicated yet"))
}

// recordWithRetry retries record while the backup is being replaced, so that a call
// that ran in the meantime still returns its response.
func (c *call) recordWithRetry(outcome hawthornrail.Outcome) error {
	k := c.home.deps.Clock
	for start := k.Now(); ; k.Sleep(replaceRetryDelay) {
		err := c.home.record(c.entry, outcome)
		replacing := err != nil && hawthornrail.AsFailure(err).Code() == hawthornrail.CodeReplicaUnreachable
		if !replacing || k.Since(start) > recordTimeout || !c.home.deps.Replicator.Holds(c.id.Home()) {
			return err
		}
	}
}

// record replicates the outcome of a call, unless the call already has one.
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

// recordInBackground retries record with exponential backoff until it succeeds or the
// program has moved.
func (h *Home) recordInBackground(e *entry, outcome hawthornrail.Outcome) {
	delay := recordRetryDelay
	for {
		h.deps.Clock.Sleep(delay)
		err := h.record(e, outcome)
		if err == nil || hawthornrail.AsFailure(err).Code() == hawthornrail.CodeMoved {
			return
		}
		delay = min(2*delay, maxRecordDelay)
	}
}

// UnreplicatedOutcomes returns the number of calls whose outcome is not replicated
// yet.
func (h *Home) UnreplicatedOutcomes() int { return int(h.recording.Load()) }

// hasOutcome reports whether the tree holds the outcome of the call.
func (e *entry) hasOutcome(outcome hawthornrail.Outcome) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, err := e.tree.Program(outcome.Program())
	return err == nil && !p.Call(outcome.Number()).Pending()
}
