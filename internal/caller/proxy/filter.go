package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
	"hawthornrail.example/hawthornrail/internal/team/keyring"
)

const (
	// startRetryAfter is when to come back to a VM without a configuration.
	startRetryAfter = 300 * time.Millisecond
	// startLevel is the part of a team's burst that must be left for a program
	// to start.
	startLevel = 0.45
	// underWayPatience is how long a request of a program under way waits for
	// its team's rate; no program starts meanwhile, so the wait goes down.
	underWayPatience = 150 * time.Millisecond
	// minRefill is the shortest time to come back to a team's rate.
	minRefill = 50 * time.Millisecond
)

// Chain returns a handler that passes requests through the filters in order
// and then to last.
func Chain(last hawthornrail.ForwardHandler, filters ...hawthornrail.ForwardFilter) hawthornrail.ForwardHandler {
	for _, f := range slices.Backward(filters) {
		next := last
		last = hawthornrail.ForwardHandlerFunc(func(ctx context.Context, r *hawthornrail.ForwardRequest) (*hawthornrail.ForwardAnswer, error) {
			return f.Filter(ctx, r, next)
		})
	}
	return last
}

// Identify finds the route of a request and the team of its key.
type Identify struct {
	config hawthornrail.Configuration
}

// NewIdentify returns the filter over a configuration.
func NewIdentify(config hawthornrail.Configuration) *Identify { return &Identify{config: config} }

// Filter refuses a request without a route or without a valid key for it.
func (f *Identify) Filter(ctx context.Context, r *hawthornrail.ForwardRequest, next hawthornrail.ForwardHandler) (*hawthornrail.ForwardAnswer, error) {
	snapshot := f.config.Snapshot()
	if snapshot.Revision() == 0 {
		return nil, hawthornrail.NotRun(hawthornrail.CodeConfigStale, "no configuration is loaded yet").WithRetryAfter(startRetryAfter)
	}
	route, ok := snapshot.Route(r.Host(), r.Path())
	if !ok {
		return nil, hawthornrail.NotRun(hawthornrail.CodeUnknownRoute, "no route for the path in version %d", snapshot.Revision())
	}
	if !route.Public() && snapshot.HasTeams() {
		d, err := keyring.CheckOpaque(snapshot, r.Credential())
		if err != nil {
			return nil, err
		}
		r.Identify(d)
	} else {
		r.Identify(hawthornrail.Deployment{})
	}
	r.Match(route, snapshot.Revision())
	return next.Forward(ctx, r)
}

// Admit counts requests against the rates of their teams.
type Admit struct {
	admitter hawthornrail.Admitter
	clock    hawthornrail.Clock
	forwards *metrics.Forwards
}

// NewAdmit returns the filter over an admitter; it counts how long requests
// wait.
func NewAdmit(admitter hawthornrail.Admitter, clock hawthornrail.Clock, forwards *metrics.Forwards) *Admit {
	return &Admit{admitter: admitter, clock: clock, forwards: forwards}
}

// Filter refuses a request beyond its team's rate and burst. What is left of a
// burst is kept for programs under way: a program that is refused at its start
// has cost nothing yet.
func (f *Admit) Filter(ctx context.Context, r *hawthornrail.ForwardRequest, next hawthornrail.ForwardHandler) (*hawthornrail.ForwardAnswer, error) {
	d := r.Deployment()
	if d.Rate() <= 0 {
		return next.Forward(ctx, r)
	}
	asked := f.clock.Now()
	line := trail.From(ctx).Note(events.ForwardAdmitted).Str("team", d.Team()).Uint64("version", d.Version()).
		Int("rate", int(d.Rate())).Int("burst", int(d.Burst())).Str("route", r.Route().Name()).Bool("first", r.First())
	retryAfter, ok := time.Duration(0), false
	if r.First() {
		level := f.admitter.Level(ctx, d, startLevel)
		line.Int("level_percent", int(100*level))
		retryAfter, ok = f.start(ctx, d, level)
	} else {
		retryAfter, ok = f.admitter.AdmitWithin(ctx, d, underWayPatience)
	}
	f.forwards.Waited(r.Route().Kind(), f.clock.Since(asked))
	line.Bool("admitted", ok).Emit()
	if !ok {
		return nil, hawthornrail.NotRun(hawthornrail.CodeRate, "the rate of team %s is used up", d.Team()).WithRetryAfter(retryAfter)
	}
	return next.Forward(ctx, r)
}

// start admits a program's first request if enough of its team's burst is left.
func (f *Admit) start(ctx context.Context, d hawthornrail.Deployment, level float64) (retryAfter time.Duration, ok bool) {
	if level < startLevel {
		return refill(d, startLevel-level), false
	}
	return f.admitter.Admit(ctx, d)
}

// refill returns when a part of a team's burst is there again, spread over
// twice that time.
func refill(d hawthornrail.Deployment, part float64) time.Duration {
	wait := time.Duration(part * d.Burst() / d.Rate() * float64(time.Second))
	return max(minRefill, wait) + rand.N(max(minRefill, wait))
}

// Budget keeps programs within their budgets.
type Budget struct {
	accounts hawthornrail.Accounts
	config   hawthornrail.Configuration
}

// NewBudget returns the filter over the accounts of programs.
func NewBudget(accounts hawthornrail.Accounts, config hawthornrail.Configuration) *Budget {
	return &Budget{accounts: accounts, config: config}
}

// Filter reserves the most that a call may generate before it runs, and
// settles what it has generated once it has ended.
func (f *Budget) Filter(ctx context.Context, r *hawthornrail.ForwardRequest, next hawthornrail.ForwardHandler) (*hawthornrail.ForwardAnswer, error) {
	call := r.Call()
	if call.Program() == "" || call.Budget() == 0 || r.Route().Kind() != hawthornrail.StreamRoute {
		return next.Forward(ctx, r)
	}
	perEvent := uint64(f.perEvent(r.Route()))
	tokens := roundUp(uint64(max(1, r.Prompt().MaxOutput())), perEvent)
	first, err := f.accounts.Reserve(ctx, call.Program(), r.ID(), call.Budget(), tokens)
	trail.From(ctx).Note(events.ForwardReserved).Str("program", call.Program()).Uint64("budget", call.Budget()).
		Uint64("tokens", tokens).Bool("granted", err == nil).Err(err).Emit()
	if err != nil {
		return nil, err
	}
	r.SetFirst(first)
	answer, err := next.Forward(ctx, r)
	if err != nil || answer.Stream() == nil {
		f.accounts.Settle(call.Program(), r.ID(), 0)
		return answer, err
	}
	counted := &countedStream{ReadCloser: answer.Stream()}
	counted.settle = func() { f.accounts.Settle(call.Program(), r.ID(), min(tokens, counted.events*perEvent)) }
	return answer.WithStream(counted), nil
}

// perEvent is the most tokens that an event of the route's services counts for.
func (f *Budget) perEvent(route hawthornrail.Route) int {
	most := 1
	for _, t := range route.Targets() {
		if s, ok := f.config.Snapshot().Service(t.Service()); ok {
			most = max(most, s.TokensPerEvent())
		}
	}
	return most
}

func roundUp(tokens, unit uint64) uint64 { return (tokens + unit - 1) / unit * unit }

// countedStream counts the events that went to the caller.
type countedStream struct {
	io.ReadCloser
	events  uint64
	newline bool
	settle  func()
}

// Read counts the ends of events, which are empty lines.
func (s *countedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	for _, b := range p[:n] {
		if b == '\n' && s.newline {
			s.events++
		}
		s.newline = b == '\n'
	}
	return n, err
}

// Close settles what the stream has used.
func (s *countedStream) Close() error {
	s.settle()
	return s.ReadCloser.Close()
}
