package home

import (
	"context"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	serviceTimeout   = 5 * time.Minute
	recordRetryDelay = 500 * time.Millisecond
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
	ends := err == nil && c.request.EndsProgram()
	recordErr := c.home.record(c.entry, outcome, ends)
	if recordErr == nil {
		return nil
	}
	c.recording = true
	c.home.recording.Add(1)
	go func() {
		defer c.home.recording.Add(-1)
		defer c.release()
		c.home.recordLater(c.entry, outcome, ends)
	}()
	if c.entry.settled(outcome) {
		return nil
	}
	f := hawthornrail.NewFailure(hawthornrail.AsFailure(recordErr).Code(), hawthornrail.VerdictMayHaveRun, recordErr)
	return f.WithRetryAfter(recordRetryDelay)
}

// record takes the steps that follow a call and that were not taken yet.
func (h *Home) record(e *entry, outcome hawthornrail.Outcome, ends bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	p, err := e.tree.Program(outcome.Program())
	if err != nil {
		return ledgerFailure(err)
	}
	if p.Call(outcome.Number()).Pending() {
		if err := h.step(ctx, e, outcome); err != nil {
			return err
		}
	}
	if !ends || p.Ended() != "" {
		return nil
	}
	return h.step(ctx, e, hawthornrail.NewEnd(outcome.Program(), "completed"))
}

// recordLater repeats record until it succeeds or the program has moved.
func (h *Home) recordLater(e *entry, outcome hawthornrail.Outcome, ends bool) {
	delay := recordRetryDelay
	for {
		h.parts.Clock.Sleep(delay)
		err := h.record(e, outcome, ends)
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
