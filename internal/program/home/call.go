package home

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
	"hawthornrail.example/hawthornrail/internal/program/pair"
	"hawthornrail.example/hawthornrail/internal/team/keyring"
)

const (
	gapWait          = 500 * time.Millisecond
	gapRetryAfter    = 200 * time.Millisecond
	sameCallWait     = 2 * time.Minute
	recordTimeout    = 5 * time.Second
	serviceTokenCost = 0
	minModelTokens   = 2
)

// Serve runs a call of a program whose home is this VM, or replays its recorded
// outcome.
func (h *Home) Serve(ctx context.Context, r *hawthornrail.Request, w hawthornrail.ResponseWriter) (err error) {
	ctx, span := h.deps.Tracer.Start(ctx, "home")
	defer func() { traces.Finish(span, err) }()
	id, err := hawthornrail.ParseProgramID(r.Program())
	if err != nil {
		return hawthornrail.NewFailure(hawthornrail.CodeBadRequest, hawthornrail.VerdictNotRun, err)
	}
	if !id.Belongs(r.Team(), h.deps.Secret) {
		return hawthornrail.NotRun(hawthornrail.CodeUnknownProgram, "program %s is not known to the team", id)
	}
	e, err := h.entry(id)
	if err != nil {
		return err
	}
	c := &call{home: h, entry: e, id: id, request: r, key: callKey{id.Index(), r.CallNumber()}, digest: digest(r)}
	recorded, err := c.claim(ctx)
	if err != nil {
		return err
	}
	if recorded != nil {
		return replay(*recorded, w)
	}
	defer func() {
		if !c.recording {
			c.releaseClaim()
		}
	}()
	return c.run(ctx, w)
}

// call is one call in flight.
type call struct {
	home    *Home
	entry   *entry
	id      hawthornrail.ProgramID
	request *hawthornrail.Request
	key     callKey
	digest  []byte
	// sendBy is the latest time at which the request may be sent. It prevents a
	// VM that was paused from sending a request after another VM has taken over
	// the program.
	sendBy time.Time
	// recording is set while the outcome is recorded in the background.
	recording bool
}

func digest(r *hawthornrail.Request) []byte {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%s\x00%s\x00", r.Target(), r.Method(), r.Path(), r.ContentType())
	h.Write(r.Body())
	return h.Sum(nil)
}

// claim waits until the call is the next one of its program. It returns the
// recorded outcome if the call was made before.
func (c *call) claim(ctx context.Context) (*hawthornrail.Outcome, error) {
	var waited ledger.Admission
	for {
		c.entry.mu.Lock()
		if c.entry.moved {
			c.entry.mu.Unlock()
			return nil, c.movedAfter(waited)
		}
		admission, err := c.entry.tree.Admit(c.key.program, c.key.number, c.digest)
		changed := c.entry.changed
		if err != nil {
			c.entry.mu.Unlock()
			return nil, ledgerFailure(err)
		}
		wait := sameCallWait
		switch admission {
		case ledger.AdmitReplay:
			outcome := c.recordedOutcome()
			c.entry.mu.Unlock()
			return &outcome, nil
		case ledger.AdmitDispatch:
			if !c.entry.claimed[c.key] {
				c.entry.claimed[c.key] = true
				c.entry.mu.Unlock()
				return nil, nil
			}
		case ledger.AdmitGap:
			wait = gapWait
		case ledger.AdmitWait:
			if err := c.checkUnrecorded(); err != nil {
				c.entry.mu.Unlock()
				return nil, err
			}
		}
		c.entry.mu.Unlock()
		if err := c.home.waitChange(ctx, changed, wait); err != nil {
			return nil, c.waitFailure(err, admission)
		}
		waited = admission
	}
}

// movedAfter rejects a call whose program moved to another VM while the call
// waited. If it waited for an earlier attempt of the same call, that attempt
// may have run.
func (c *call) movedAfter(waited ledger.Admission) error {
	f := movedFailure(c.id)
	if waited == 0 || waited == ledger.AdmitGap {
		return f
	}
	return hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, f).WithRetryAfter(movedRetryAfter)
}

func (c *call) recordedOutcome() hawthornrail.Outcome {
	p, err := c.entry.tree.Program(c.key.program)
	if err != nil {
		return hawthornrail.Outcome{}
	}
	return p.Call(c.key.number).Outcome()
}

func (c *call) waitFailure(err error, admission ledger.Admission) error {
	if admission == ledger.AdmitGap {
		f := hawthornrail.NotRun(hawthornrail.CodeCallOrder, "call %d came before an earlier one: %w", c.key.number, err)
		return f.WithRetryAfter(gapRetryAfter)
	}
	return hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, err)
}

func (c *call) releaseClaim() {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	delete(c.entry.claimed, c.key)
	c.entry.notifyWaiters()
}

// run dispatches the call and retries it on other endpoints while that is
// allowed.
func (c *call) run(ctx context.Context, w hawthornrail.ResponseWriter) error {
	p, err := c.prepare()
	if err != nil {
		c.endExhausted(ctx, err, minModelTokens)
		return err
	}
	c.home.retries.Deposit()
	var tried []string
	tracked := &trackingWriter{next: w}
	verdict := hawthornrail.VerdictNotRun
	for {
		endpoint, err := c.attempt(ctx, p, tried, tracked)
		if err == nil {
			return nil
		}
		verdict = max(verdict, hawthornrail.VerdictOf(err))
		err = withMinVerdict(err, verdict)
		tried = append(tried, endpoint)
		if !c.mayRetry(ctx, err, tracked, len(tried)) {
			c.endExhausted(ctx, err, p.reserve)
			return err
		}
	}
}

// withMinVerdict raises the verdict of a failure to that of the earlier attempts: an
// earlier attempt may have run even if the retry was rejected.
func withMinVerdict(err error, verdict hawthornrail.Verdict) error {
	f := hawthornrail.AsFailure(err)
	if f.Verdict() >= verdict {
		return err
	}
	return hawthornrail.NewFailure(f.Code(), verdict, err).WithRetryAfter(f.RetryAfter())
}

func (c *call) mayRetry(ctx context.Context, err error, w *trackingWriter, tries int) bool {
	f := hawthornrail.AsFailure(err)
	if f.Code() != hawthornrail.CodeEndpointFailed && f.Code() != hawthornrail.CodeResponseTruncated {
		return false
	}
	if ctx.Err() != nil || w.started || tries > c.home.deps.RetryLimit {
		return false
	}
	repeatable := c.request.Idempotent() || f.Verdict() == hawthornrail.VerdictNotRun
	return repeatable && c.home.retries.Withdraw()
}

// attempt sends the call to one endpoint and records the outcome.
func (c *call) attempt(ctx context.Context, p preparedCall, tried []string, w *trackingWriter) (string, error) {
	release, err := c.home.deps.Queue.Acquire(ctx, p.ticket)
	if err != nil {
		return "", err
	}
	used := float64(0)
	defer func() { release(used) }()
	query := p.query.Excluding(tried)
	endpoint, err := c.home.deps.Picker.Pick(query)
	if err != nil {
		return "", err
	}
	start := c.home.deps.Clock.Now()
	response, err := c.dispatch(ctx, endpoint, p, w)
	fault := err
	if ctx.Err() != nil {
		// The caller disconnected, so the error must not count against the
		// endpoint.
		fault = ctx.Err()
	}
	c.home.deps.Picker.Done(endpoint.Name(), query, fault, response.Usage(), c.home.deps.Clock.Since(start))
	used = response.Usage().ServiceTokens()
	return endpoint.Name(), err
}

func (c *call) dispatch(ctx context.Context, e hawthornrail.Endpoint, p preparedCall, w *trackingWriter) (hawthornrail.Response, error) {
	if err := c.recordIntent(ctx, e, p); err != nil {
		return hawthornrail.Response{}, err
	}
	response, err := c.send(ctx, e, p, w)
	if recordErr := c.record(response, err); recordErr != nil {
		return response, recordErr
	}
	return response, err
}

func (c *call) recordIntent(ctx context.Context, e hawthornrail.Endpoint, p preparedCall) error {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	program, err := c.entry.tree.Program(c.key.program)
	if err != nil {
		return ledgerFailure(err)
	}
	if err := c.checkWallTime(program); err != nil {
		return err
	}
	intent := hawthornrail.NewIntent(c.key.program, c.key.number, c.digest, e.Name(), c.request.Idempotent(), p.reserve)
	c.sendBy = c.home.deps.Clock.Now().Add(pair.DispatchTimeout)
	return c.home.step(ctx, c.entry, intent.WithMessages(p.messages))
}

func (c *call) send(ctx context.Context, e hawthornrail.Endpoint, p preparedCall, w *trackingWriter) (hawthornrail.Response, error) {
	if err := c.checkKey(); err != nil {
		return hawthornrail.Response{}, err
	}
	ctx = http.WithSendBy(ctx, c.sendBy)
	requestID := fmt.Sprintf("%s/%d", c.id, c.key.number)
	if c.request.Model() != "" {
		ctx, cancel := c.withWallTime(ctx)
		defer cancel()
		return c.home.deps.Engines.Dispatch(ctx, e, p.request, requestID, w)
	}
	if !c.request.Idempotent() {
		detached, cancel := detach(ctx)
		defer cancel()
		ctx = detached
	}
	return c.home.deps.Services.Dispatch(ctx, e, p.request, requestID, w)
}

// checkKey rejects a request whose key was revoked while it waited. The check
// is skipped if the VM that authenticated the key has a later revision of the
// configuration than this VM.
func (c *call) checkKey() error {
	id := c.request.KeyID()
	if id == "" {
		return nil
	}
	snapshot := c.home.deps.Config.Snapshot()
	if keyring.Valid(snapshot, id, c.request.Team()) || snapshot.Revision() < c.request.Revision() {
		return nil
	}
	return keyring.RevokedFailure(id, hawthornrail.VerdictNotRun)
}

// replay writes the recorded outcome of a call as the response.
func replay(o hawthornrail.Outcome, w hawthornrail.ResponseWriter) error {
	if o.Verdict() != hawthornrail.VerdictRan {
		return hawthornrail.NewFailure(o.Code(), o.Verdict(), errors.New("recorded outcome of an earlier try"))
	}
	if err := w.Head(o.Status(), o.ContentType()); err != nil {
		return hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictRan, err)
	}
	if err := w.Chunk(o.Response()); err != nil {
		return hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictRan, err)
	}
	return nil
}

// trackingWriter records whether any part of a response was written.
type trackingWriter struct {
	next    hawthornrail.ResponseWriter
	started bool
}

// Head forwards the head of the response.
func (w *trackingWriter) Head(status int, contentType string) error {
	w.started = true
	return w.next.Head(status, contentType)
}

// Chunk forwards a part of the response body.
func (w *trackingWriter) Chunk(data []byte) error { return w.next.Chunk(data) }
