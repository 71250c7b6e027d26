package suspects

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/policy/quarantine"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
)

const nameRefused = "quarantine.refused"

// explainInterval is the interval at which losses are compared with the list of endpoints.
const explainInterval = 250 * time.Millisecond

// Dependencies are the dependencies of a Controller.
type Dependencies struct {
	// VM is the name of this VM, and Address its address for other VMs.
	VM      string
	Address string
	Config  hawthornrail.Configuration
	// Peers returns the addresses of the other entry VMs.
	Peers func() []string
	// Direct sends reports, and Relay, which also reaches VMs through others, asks
	// for trials.
	Direct peer.Invoker
	Relay  peer.Invoker
	Clock  hawthornrail.Clock
	Log    events.Logger
	// Registry receives the metrics.
	Registry gometrics.Registry
}

// Controller knows which digests are quarantined on all VMs; it implements
// hawthornrail.Quarantine.
type Controller struct {
	deps    Dependencies
	refused gometrics.Counter

	mu    sync.Mutex
	table *quarantine.Table
	// losses are the requests that were broken off without a known cause.
	losses *quarantine.Losses
	// unreported are the digests that have changed since the last report to all
	// VMs.
	unreported map[hawthornrail.RequestDigest]bool
	// changed receives a value when a digest becomes unreported.
	changed chan struct{}
}

// New returns a controller that knows no digest.
func New(deps Dependencies) *Controller {
	c := &Controller{
		deps: deps, refused: gometrics.NewRegisteredCounter(nameRefused, deps.Registry),
		table: quarantine.NewTable(), losses: quarantine.NewLosses(), unreported: make(map[hawthornrail.RequestDigest]bool), changed: make(chan struct{}, 1),
	}
	return c
}

// Quarantined returns the number of digests that are refused.
func (c *Controller) Quarantined() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Quarantined()
}

// Check returns a Failure while requests with one of the digests are refused; it
// asks no other VM.
func (c *Controller) Check(digests hawthornrail.RequestDigests) error {
	for _, digest := range digests.All() {
		if d := c.check(digest); !d.Allowed() && !d.TrialDue() {
			return c.refuse(digest, d)
		}
	}
	return nil
}

// Admit returns a Failure unless a request may be sent to an endpoint; trial
// reports that no other request like it may.
func (c *Controller) Admit(ctx context.Context, digests hawthornrail.RequestDigests) (trial bool, err error) {
	if err := c.Check(digests); err != nil {
		return false, err
	}
	for _, digest := range digests.All() {
		if !c.check(digest).TrialDue() {
			continue
		}
		if d := c.requestTrial(ctx, digest); !d.Allowed() {
			return false, c.refuse(digest, d)
		}
		c.deps.Log.Event(events.TrialStarted).Str("digest", digest.String()).Emit()
		trial = true
	}
	return trial, nil
}

func (c *Controller) check(digest hawthornrail.RequestDigest) quarantine.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Check(digest, c.deps.Clock.Now())
}

// refuse returns the failure of a refused request. A random part of the delay
// spreads the callers.
func (c *Controller) refuse(digest hawthornrail.RequestDigest, d quarantine.Decision) error {
	c.refused.Inc(1)
	f := hawthornrail.NotRun(hawthornrail.CodeQuarantined, "requests with digest %s have crashed endpoints", digest)
	return f.WithRetryAfter(d.RetryAfter() + rand.N(d.RetryAfter()/10+time.Millisecond))
}

// RecordCrash records that an endpoint crashed while it had a team's request.
func (c *Controller) RecordCrash(digests hawthornrail.RequestDigests, team, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordCrashLocked(quarantine.Loss{Digests: digests, Team: team, Endpoint: endpoint, At: c.deps.Clock.Now()})
}

// recordCrashLocked records a crash and reports it to all VMs if it was unknown; c.mu must
// be held.
func (c *Controller) recordCrashLocked(crash quarantine.Loss) {
	for _, digest := range crash.Suspects() {
		before := c.table.Crashes(digest)
		if c.table.RecordCrash(digest, crash.Team, crash.Endpoint, crash.At) {
			c.logIfQuarantinedLocked(digest, before)
			c.reportLocked(digest)
		}
	}
}

// RecordLoss records that an endpoint broke off a team's request while nothing told a
// crash from a cut link.
func (c *Controller) RecordLoss(digests hawthornrail.RequestDigests, team, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losses.Add(quarantine.Loss{Digests: digests, Team: team, Endpoint: endpoint, At: c.deps.Clock.Now()})
}

// explainLosses records the losses whose endpoint turns out to be gone as crashes, until
// ctx ends.
func (c *Controller) explainLosses(ctx context.Context) {
	for clock.Wait(ctx, c.deps.Clock, explainInterval) {
		c.mu.Lock()
		for _, crash := range c.losses.TakeCrashes(c.deps.Config.Snapshot().Endpoint, c.deps.Clock.Now()) {
			c.deps.Log.Event(events.LossExplained).Str("endpoint", crash.Endpoint).Str("team", crash.Team).
				Str("content", crash.Digests.Content().String()).Str("resource", crash.Digests.Resource().String()).Emit()
			c.recordCrashLocked(crash)
		}
		c.mu.Unlock()
	}
}

// RecordCompletion records that an endpoint has run a request to its end.
func (c *Controller) RecordCompletion(digests hawthornrail.RequestDigests) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losses.RecordCompletion(digests)
	for _, digest := range digests.All() {
		quarantined := c.table.IsQuarantined(digest)
		if c.table.RecordCompletion(digest, c.deps.Clock.Now()) && quarantined {
			// Other VMs learn of digests that nobody refuses by the regular reports.
			c.deps.Log.Event(events.QuarantineEnded).Str("digest", digest.String()).Emit()
			c.reportLocked(digest)
		}
	}
}

// logIfQuarantinedLocked logs that a digest is refused from now on; c.mu must be
// held.
func (c *Controller) logIfQuarantinedLocked(digest hawthornrail.RequestDigest, crashesBefore int) {
	if !c.table.IsQuarantined(digest) || crashesBefore == c.table.Crashes(digest) {
		return
	}
	r, _ := c.table.Record(digest, c.deps.Clock.Now())
	endpoints := make([]string, 0, len(r.Crashes))
	for _, crash := range r.Crashes {
		endpoints = append(endpoints, crash.Endpoint)
	}
	c.deps.Log.Event(events.RequestQuarantined).Str("digest", digest.String()).Str("team", r.Team).
		Str("endpoints", fmt.Sprint(endpoints)).Int("crashes", len(endpoints)).Emit()
}

// reportLocked has a digest reported to all VMs; c.mu must be held.
func (c *Controller) reportLocked(digest hawthornrail.RequestDigest) {
	c.unreported[digest] = true
	select {
	case c.changed <- struct{}{}:
	default:
		// A report is already due.
	}
}
