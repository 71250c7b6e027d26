package memory

import (
	"context"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

const (
	roundInterval  = time.Second
	sweepInterval  = 30 * time.Second
	requestTimeout = 2 * time.Second
	firstBackoff   = time.Second
	maxBackoff     = 30 * time.Second
)

// Controller releases the engine memory of the programs that ended on this VM.
// An ended program never becomes live again, so an outdated record cannot cause
// the release of the memory of a live program.
type Controller struct {
	programs hawthornrail.FinishedPrograms
	engines  hawthornrail.EngineMemory
	config   hawthornrail.Configuration
	clock    hawthornrail.Clock
	log      events.Logger

	mu       sync.Mutex
	releases map[holding]*release
}

// holding identifies the memory that one engine may hold for one program.
type holding struct {
	program  string
	endpoint string
}

// release is the state of the release of a holding.
type release struct {
	confirmed bool
	due       time.Time
	backoff   time.Duration
}

// New returns a controller without releases.
func New(programs hawthornrail.FinishedPrograms, engines hawthornrail.EngineMemory, config hawthornrail.Configuration, clock hawthornrail.Clock, log events.Logger) *Controller {
	return &Controller{
		programs: programs, engines: engines, config: config, clock: clock, log: log,
		releases: make(map[holding]*release),
	}
}

// Run calls Release and Sweep periodically until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	lastSweep := c.clock.Now()
	for {
		if !clock.Wait(ctx, c.clock, roundInterval) {
			return
		}
		c.Release(ctx)
		if c.clock.Since(lastSweep) >= sweepInterval {
			c.Sweep(ctx)
			lastSweep = c.clock.Now()
		}
	}
}

// Unconfirmed returns the number of holdings whose release is not confirmed.
func (c *Controller) Unconfirmed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.releases {
		if !r.confirmed {
			n++
		}
	}
	return n
}

// Released reports whether an engine has confirmed that it holds no memory for a
// program. Endpoints that are not engines and those that were removed hold none.
func (c *Controller) Released(program, endpoint string) bool {
	e, ok := c.config.Snapshot().Endpoint(endpoint)
	if !ok || e.Kind() != hawthornrail.EngineEndpoint {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.releases[holding{program, endpoint}]
	return r != nil && r.confirmed
}

// Release sends each engine the releases that are due.
func (c *Controller) Release(ctx context.Context) {
	c.refresh()
	c.eachEngine(c.due(), func(e hawthornrail.Endpoint, due []holding) {
		for i, h := range due {
			if err := c.release(ctx, e, h); err != nil {
				// An unresponsive engine receives one request per round.
				c.backOff(due[i:])
				c.log.Event(events.MemoryUnconfirmed).Str("endpoint", e.Name()).Err(err).Emit()
				return
			}
			c.confirm(h)
		}
	})
}

// Sweep finds memory that was allocated again after its release, for example by
// a response that the engine completed later, and schedules another release.
func (c *Controller) Sweep(ctx context.Context) {
	c.refresh()
	c.eachEngine(c.confirmed(), func(e hawthornrail.Endpoint, confirmed []holding) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		programs, err := c.engines.ProgramsInMemory(ctx, e)
		if err != nil {
			return
		}
		held := make(map[string]bool, len(programs))
		for _, p := range programs {
			held[p] = true
		}
		for _, h := range confirmed {
			if held[h.program] {
				c.restart(h)
			}
		}
	})
}

// eachEngine runs f concurrently for the engines that the configuration still
// has.
func (c *Controller) eachEngine(byEndpoint map[string][]holding, f func(e hawthornrail.Endpoint, holdings []holding)) {
	snapshot := c.config.Snapshot()
	var wait sync.WaitGroup
	for name, holdings := range byEndpoint {
		e, ok := snapshot.Endpoint(name)
		if !ok || e.Kind() != hawthornrail.EngineEndpoint {
			continue
		}
		wait.Go(func() { f(e, holdings) })
	}
	wait.Wait()
}

// refresh adds the holdings of ended programs and removes those of programs
// whose record was removed.
func (c *Controller) refresh() {
	finished := make(map[holding]bool)
	for _, p := range c.programs.Finished() {
		for _, e := range p.Endpoints() {
			finished[holding{p.ID().String(), e}] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for h := range finished {
		if c.releases[h] == nil {
			c.releases[h] = &release{due: c.clock.Now(), backoff: firstBackoff}
		}
	}
	for h := range c.releases {
		if !finished[h] {
			delete(c.releases, h)
		}
	}
}

func (c *Controller) due() map[string][]holding {
	now := c.clock.Now()
	return c.selected(func(r *release) bool { return !r.confirmed && !now.Before(r.due) })
}

func (c *Controller) confirmed() map[string][]holding {
	return c.selected(func(r *release) bool { return r.confirmed })
}

func (c *Controller) selected(want func(r *release) bool) map[string][]holding {
	c.mu.Lock()
	defer c.mu.Unlock()
	selected := make(map[string][]holding)
	for h, r := range c.releases {
		if want(r) {
			selected[h.endpoint] = append(selected[h.endpoint], h)
		}
	}
	return selected
}

func (c *Controller) release(ctx context.Context, e hawthornrail.Endpoint, h holding) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return c.engines.Release(ctx, e, h.program)
}

func (c *Controller) confirm(h holding) {
	c.update(h, func(r *release) { r.confirmed = true })
}

func (c *Controller) restart(h holding) {
	c.update(h, func(r *release) { *r = release{due: c.clock.Now(), backoff: firstBackoff} })
}

func (c *Controller) backOff(holdings []holding) {
	for _, h := range holdings {
		c.update(h, func(r *release) {
			r.due = c.clock.Now().Add(r.backoff)
			r.backoff = min(2*r.backoff, maxBackoff)
		})
	}
}

func (c *Controller) update(h holding, f func(r *release)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.releases[h]; r != nil {
		f(r)
	}
}
