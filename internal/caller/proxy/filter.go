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
	// confirmRetryAfter is the retry delay of a VM whose configuration is not confirmed.
	confirmRetryAfter = 300 * time.Millisecond
	// minStartLevel is the fraction of a team's burst that must be available for a
	// program to start.
	minStartLevel = 0.45
	// maxAdmitWait is how long a request of a program that has started waits for
	// its team's rate; no program starts meanwhile, so the wait decreases.
	maxAdmitWait = 400 * time.Millisecond
	// maxAdmitWaitShare is the fraction of the time to a request's deadline that it
	// waits at most; the rest is left for the endpoint.
	maxAdmitWaitShare = 1.0 / 3
	// minRefillDelay is the shortest retry delay of a request that a team's rate
	// refuses at the start of a program.
	minRefillDelay = 50 * time.Millisecond
)

// Chain returns a handler that applies the filters in order and then calls last.
func Chain(last hawthornrail.ForwardHandler, filters ...hawthornrail.ForwardFilter) hawthornrail.ForwardHandler {
	for _, f := range slices.Backward(filters) {
		next := last
		last = hawthornrail.ForwardHandlerFunc(func(ctx context.Context, r *hawthornrail.ForwardRequest) (*hawthornrail.ForwardResponse, error) {
			return f.Filter(ctx, r, next)
		})
	}
	return last
}

// Identify finds the route of a request and the team of its key.
type Identify struct {
	config    hawthornrail.Configuration
	freshness hawthornrail.ConfigFreshness
}

// NewIdentify returns the filter over a configuration.
func NewIdentify(config hawthornrail.Configuration, freshness hawthornrail.ConfigFreshness) *Identify {
	return &Identify{config: config, freshness: freshness}
}

// Filter refuses a request that has no route or no valid key for its route.
func (f *Identify) Filter(ctx context.Context, r *hawthornrail.ForwardRequest, next hawthornrail.ForwardHandler) (*hawthornrail.ForwardResponse, error) {
	snapshot := f.config.Snapshot()
	if snapshot.Revision() == 0 || !f.freshness.Usable() {
		return nil, hawthornrail.NotRun(hawthornrail.CodeConfigStale, "no confirmed configuration is loaded yet").WithRetryAfter(confirmRetryAfter)
	}
	if err := f.identify(snapshot, r); err != nil {
		return nil, f.asTemporary(err)
	}
	return next.Forward(ctx, r)
}

// asTemporary returns a failure after which the caller may retry if a later version
// than the one held may allow the request.
func (f *Identify) asTemporary(err error) error {
	if f.freshness.Current() {
		return err
	}
	return hawthornrail.NotRun(hawthornrail.CodeConfigStale, "a later version may allow the request: %w", err).WithRetryAfter(confirmRetryAfter)
}

// identify sets the route and the team of a request.
func (f *Identify) identify(snapshot *hawthornrail.Snapshot, r *hawthornrail.ForwardRequest) error {
	route, ok := snapshot.Route(r.Host(), r.Path())
	if !ok {
		return hawthornrail.NotRun(hawthornrail.CodeUnknownRoute, "no route for the path in version %d", snapshot.Revision())
	}
	if !route.Public() && snapshot.HasTeams() {
		d, err := keyring.CheckOpaque(snapshot, r.Credential())
		if err != nil {
			return err
		}
		r.Identify(d)
	} else {
		r.Identify(hawthornrail.Deployment{})
	}
	r.Match(route, snapshot.Revision())
	return nil
}

// Quarantine refuses requests like those that have crashed endpoints.
type Quarantine struct {
	quarantine hawthornrail.Quarantine
}

// NewQuarantine returns the filter over a quarantine.
func NewQuarantine(quarantine hawthornrail.Quarantine) *Quarantine {
	return &Quarantine{quarantine: quarantine}
}

// Filter refuses a request before it uses its program's budget and its team's
// rate.
func (f *Quarantine) Filter(ctx context.Context, r *hawthornrail.ForwardRequest, next hawthornrail.ForwardHandler) (*hawthornrail.ForwardResponse, error) {
	if err := f.quarantine.Check(r.Digests()); err != nil {
		return nil, err
	}
	return next.Forward(ctx, r)
}

// Admit enforces the rates of teams.
type Admit struct {
	admitter hawthornrail.Admitter
	clock    hawthornrail.Clock
	forwards *metrics.Forwards
}

// NewAdmit returns the filter over an admitter; it measures how long requests
// wait for admission.
func NewAdmit(admitter hawthornrail.Admitter, clock hawthornrail.Clock, forwards *metrics.Forwards) *Admit {
	return &Admit{admitter: admitter, clock: clock, forwards: forwards}
}

// Filter refuses a request that exceeds its team's rate and burst. The last part
// of a burst is reserved for programs that have started: a program that is
// refused at its start has used no resources yet.
func (f *Admit) Filter(ctx context.Context, r *hawthornrail.ForwardRequest, next hawthornrail.ForwardHandler) (*hawthornrail.ForwardResponse, error) {
	d := r.Deployment()
	if d.Rate() <= 0 {
		return next.Forward(ctx, r)
	}
	requested := f.clock.Now()
	line := trail.From(ctx).Event(events.ForwardAdmitted).Str("team", d.Team()).Uint64("version", d.Version()).
		Int("rate", int(d.Rate())).Int("burst", int(d.Burst())).Str("route", r.Route().Name()).Bool("first", r.FirstOfProgram())
	retryAfter, ok := time.Duration(0), false
	if r.FirstOfProgram() {
		level := f.admitter.RemainingBurst(ctx, d, minStartLevel)
		line.Int("level_percent", int(100*level))
		retryAfter, ok = f.admitStart(ctx, d, level)
	} else {
		retryAfter, ok = f.admitter.AdmitWithin(ctx, d, f.admitWait(r))
	}
	f.forwards.RateWaited(r.Route().Kind(), f.clock.Since(requested))
	line.Bool("admitted", ok).Emit()
	if !ok {
		return nil, hawthornrail.NotRun(hawthornrail.CodeRate, "the rate of team %s is used up", d.Team()).WithRetryAfter(retryAfter)
	}
	return next.Forward(ctx, r)
}

// admitWait returns how long a request of a program that has started waits for
// its team's rate.
func (f *Admit) admitWait(r *hawthornrail.ForwardRequest) time.Duration {
	if r.Deadline().IsZero() {
		return maxAdmitWait
	}
	timeLeft := r.Deadline().Sub(f.clock.Now())
	return min(maxAdmitWait, time.Duration(maxAdmitWaitShare*float64(timeLeft)))
}

// admitStart admits a program's first request if enough of its team's burst is
// available.
func (f *Admit) admitStart(ctx context.Context, d hawthornrail.Deployment, level float64) (retryAfter time.Duration, ok bool) {
	if level < minStartLevel {
		return refillDelay(d, minStartLevel-level), false
	}
	return f.admitter.Admit(ctx, d)
}

// refillDelay returns a random retry delay of one to two times the time in which
// a fraction of a team's burst refills.
func refillDelay(d hawthornrail.Deployment, fraction float64) time.Duration {
	wait := time.Duration(fraction * d.Burst() / d.Rate() * float64(time.Second))
	return max(minRefillDelay, wait) + rand.N(max(minRefillDelay, wait))
}

// Budget enforces the budgets of programs.
type Budget struct {
	accounts hawthornrail.Accounts
	config   hawthornrail.Configuration
}

// NewBudget returns the filter over the accounts of programs.
func NewBudget(accounts hawthornrail.Accounts, config hawthornrail.Configuration) *Budget {
	return &Budget{accounts: accounts, config: config}
}

// Filter reserves the largest number of tokens that a call may generate before
// the call runs, and settles the tokens that it generated once it has ended.
func (f *Budget) Filter(ctx context.Context, r *hawthornrail.ForwardRequest, next hawthornrail.ForwardHandler) (*hawthornrail.ForwardResponse, error) {
	call := r.Call()
	budget, limited := call.Budget()
	if !limited || r.Route().Kind() != hawthornrail.StreamRoute {
		return next.Forward(ctx, r)
	}
	if budget == 0 {
		return nil, hawthornrail.NotRun(hawthornrail.CodeBudget, "program %s has a budget of 0 tokens", call.Program())
	}
	perEvent := uint64(f.tokensPerEvent(r.Route()))
	tokens := roundUp(uint64(max(1, r.Prompt().MaxOutput())), perEvent)
	first, err := f.accounts.Reserve(ctx, call.Program(), r.ID(), budget, tokens)
	trail.From(ctx).Event(events.ForwardReserved).Str("program", call.Program()).Uint64("budget", budget).
		Uint64("tokens", tokens).Bool("granted", err == nil).Err(err).Emit()
	if err != nil {
		return nil, err
	}
	r.SetFirstOfProgram(first)
	response, err := next.Forward(ctx, r)
	if err != nil || response.Stream() == nil {
		f.accounts.Settle(call.Program(), r.ID(), 0)
		return response, err
	}
	counted := &countedStream{ReadCloser: response.Stream()}
	counted.settle = func() { f.accounts.Settle(call.Program(), r.ID(), min(tokens, counted.events*perEvent)) }
	return response.WithStream(counted), nil
}

// tokensPerEvent returns the largest number of tokens that one event of any of
// the route's services counts for.
func (f *Budget) tokensPerEvent(route hawthornrail.Route) int {
	highest := 1
	for _, t := range route.Targets() {
		if s, ok := f.config.Snapshot().Service(t.Service()); ok {
			highest = max(highest, s.TokensPerEvent())
		}
	}
	return highest
}

func roundUp(tokens, unit uint64) uint64 { return (tokens + unit - 1) / unit * unit }

// countedStream counts the events that were sent to the caller.
type countedStream struct {
	io.ReadCloser
	events       uint64
	afterNewline bool
	settle       func()
}

// Read counts the ends of events, which are empty lines.
func (s *countedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	for _, b := range p[:n] {
		if b == '\n' && s.afterNewline {
			s.events++
		}
		s.afterNewline = b == '\n'
	}
	return n, err
}

// Close settles the tokens of the events sent so far.
func (s *countedStream) Close() error {
	s.settle()
	return s.ReadCloser.Close()
}
