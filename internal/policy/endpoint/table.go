package endpoint

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Params are the parameters of the choice.
type Params struct {
	// PrefillPerSecond is an engine's prompt tokens per second.
	PrefillPerSecond float64
	// PrefillCost is how much dearer a prefill is than its own time, since
	// it also delays the requests that decode beside it.
	PrefillCost float64
	// Crowding is the part of a request's time that a full batch adds.
	Crowding float64
	// Distance is the cost of an endpoint in another data centre.
	Distance time.Duration
	// ReportHalfLife is the age at which a load report counts half.
	ReportHalfLife time.Duration
	// HintHalfLife is the age at which a hint on cached tokens counts half.
	HintHalfLife time.Duration
	// Samples is the number of endpoints that one choice compares.
	Samples int
	// NearEqual is the difference in time within which a choice is random.
	NearEqual time.Duration
	// MemoryShare is the part of the cache that started programs may fill.
	MemoryShare float64
	// IdleShare is the part of the slots below which memory bounds nothing.
	IdleShare float64
	// FirstBackoff and LastBackoff bound the time before a failed endpoint
	// is probed again.
	FirstBackoff time.Duration
	LastBackoff  time.Duration
	// TryFailed lets a failed endpoint be tried early when no other is left.
	TryFailed bool
}

// DefaultParams returns the parameters of the process.
func DefaultParams() Params {
	return Params{
		PrefillPerSecond: 12_000, PrefillCost: 20, Crowding: 0.25,
		Distance: 20 * time.Millisecond, ReportHalfLife: 4 * time.Second, HintHalfLife: 10 * time.Minute,
		Samples: 16, NearEqual: 50 * time.Millisecond, MemoryShare: 0.9, IdleShare: 0.5,
		FirstBackoff: time.Second, LastBackoff: 30 * time.Second,
	}
}

// ForwardParams returns the parameters for requests that are forwarded: turns
// of a few hundred milliseconds at engines that read prompts fast.
func ForwardParams() Params {
	return Params{
		PrefillPerSecond: 112_000, PrefillCost: 2, Crowding: 0.25,
		Distance: 12 * time.Millisecond, ReportHalfLife: 500 * time.Millisecond, HintHalfLife: time.Minute,
		Samples: 32, NearEqual: 2 * time.Millisecond, MemoryShare: 0.9, IdleShare: 0.5,
		FirstBackoff: 200 * time.Millisecond, LastBackoff: 2 * time.Second, TryFailed: true,
	}
}

const (
	assumedSlots   = 32
	assumedService = 5.0 // seconds
	maxHints       = 1 << 16
)

// hint is where a program's prompt is believed to be cached.
type hint struct {
	endpoint string
	tokens   int
	at       time.Time
}

// Table holds what a VM knows of the endpoints that serve one model or
// service. Its methods take the time, so that a decision depends on nothing
// else; callers serialise them.
type Table struct {
	params     Params
	dataCentre string
	random     *rand.Rand
	sharers    int
	states     map[string]*state
	listed     []hawthornrail.Endpoint
	departed   *departures
	local      []*state
	remote     []*state
	hints      map[string]hint
	service    average
	inFlight   int
	unknown    int
	sums
}

// sums are totals over the endpoints that may be chosen.
type sums struct {
	slots        int
	reports      int
	reported     int
	ownAtReports int
	others       int
	free         int
	memory       int
}

// NewTable returns an empty table of a VM in a data centre; random breaks
// ties between endpoints that are nearly equal.
func NewTable(params Params, dataCentre string, random *rand.Rand) *Table {
	return &Table{
		params: params, dataCentre: dataCentre, random: random, sharers: 1,
		states: make(map[string]*state), departed: newDepartures(), hints: make(map[string]hint),
	}
}

// SetSharers sets the number of VMs, this one included, that send to the
// same endpoints.
func (t *Table) SetSharers(n int) { t.sharers = max(1, n) }

// Set replaces the endpoints; what is known of those that stay is kept.
func (t *Table) Set(endpoints []hawthornrail.Endpoint) {
	old := t.states
	t.listed = endpoints
	t.states = make(map[string]*state, len(endpoints))
	t.local, t.remote, t.unknown = nil, nil, 0
	for _, e := range endpoints {
		if t.departed.has(e.Name()) {
			e = e.WithLeaving(true)
		}
		s, ok := old[e.Name()]
		if !ok {
			s = &state{}
		}
		s.endpoint, s.slots = e, e.Slots()
		if s.slots <= 0 {
			t.unknown++
			s.slots = assumedSlots
		}
		t.states[e.Name()] = s
		if e.Leaving() {
			continue
		}
		if e.DataCentre() == t.dataCentre {
			t.local = append(t.local, s)
		} else {
			t.remote = append(t.remote, s)
		}
	}
	t.recount()
}

// Leaves takes an endpoint's word that it is leaving, which holds for as long as
// it has its name; first is false if that was known.
func (t *Table) Leaves(name string) (first bool) {
	if !t.departed.add(name) {
		return false
	}
	t.Set(t.listed)
	return true
}

// recount sums the reports of all endpoints anew.
func (t *Table) recount() {
	t.sums = sums{}
	for _, s := range t.states {
		t.count(s, 1)
	}
}

// count adds what is known of an endpoint to the sums, or takes it away
// before a change; endpoints that may not be chosen do not count.
func (t *Table) count(s *state, sign int) {
	if s.endpoint.Leaving() || s.failures > 0 {
		return
	}
	t.slots += sign * s.slots
	if s.reported.IsZero() {
		return
	}
	t.reports += sign
	t.reported += sign * s.slots
	t.ownAtReports += sign * s.ownAtReport
	t.others += sign * s.others()
	t.free += sign * (s.slots - s.report.waiting - s.report.running)
	t.memory += sign * max(0, s.freeMemory(t.params.MemoryShare))
}

// Report takes a load report of an endpoint.
func (t *Table) Report(name string, r Report, now time.Time) {
	s, ok := t.states[name]
	if !ok {
		return
	}
	t.count(s, -1)
	if s.silent {
		s.silent, s.failures = false, 0
	}
	s.report, s.reported, s.ownAtReport, s.freshTokens = r, now, s.inFlight, 0
	t.count(s, 1)
}

// Allowance is how many requests a VM may have under way.
type Allowance struct {
	requests int
	fresh    bool
}

// Requests returns the number of requests that may be under way.
func (a Allowance) Requests() int { return a.requests }

// Fresh reports whether programs that have not run yet may start.
func (a Allowance) Fresh() bool { return a.fresh }

// Allowance returns what this VM may send: its equal part of the slots, and
// beyond that its equal part of what the reports show as free. Endpoints
// without a configured number of slots that do not report bound nothing.
func (t *Table) Allowance() Allowance {
	if t.slots == 0 {
		// Let requests through to be refused for want of an endpoint.
		return Allowance{requests: t.inFlight + 1, fresh: true}
	}
	if t.unknown > 0 && t.reports == 0 {
		return Allowance{requests: math.MaxInt, fresh: true}
	}
	share := (t.slots + t.sharers - 1) / t.sharers
	requests := share
	if t.reports > 0 {
		requests = max(share, t.ownAtReports+t.free/t.sharers)
	}
	return Allowance{requests: requests, fresh: t.memory > 0 || t.idle()}
}

// idle reports whether so few requests run that memory needs no bound.
func (t *Table) idle() bool {
	return float64(t.free) > float64(t.reported)*(1-t.params.IdleShare) || t.reports == 0
}

// Cached takes a cache event or an answer's usage: an endpoint holds so many
// tokens of a program's prompt, or none.
func (t *Table) Cached(program, endpoint string, tokens int, now time.Time) {
	if program == "" {
		return
	}
	known, ok := t.hints[program]
	if tokens > 0 {
		if !ok && len(t.hints) >= maxHints {
			t.forget(now)
		}
		t.hints[program] = hint{endpoint: endpoint, tokens: tokens, at: now}
		return
	}
	if ok && known.endpoint == endpoint {
		delete(t.hints, program)
	}
}

// Evicted takes a late cache event; it loses against a later answer.
func (t *Table) Evicted(program, endpoint string, at time.Time) {
	if known, ok := t.hints[program]; ok && known.endpoint == endpoint && known.at.Before(at) {
		delete(t.hints, program)
	}
}

// Forget drops the hint on a program that has ended.
func (t *Table) Forget(program string) { delete(t.hints, program) }

func (t *Table) forget(now time.Time) {
	for program, h := range t.hints {
		if now.Sub(h.at) > t.params.HintHalfLife {
			delete(t.hints, program)
		}
	}
	for program := range t.hints {
		if len(t.hints) < maxHints {
			return
		}
		delete(t.hints, program)
	}
}

// Outcome is what a request's end says of its endpoint.
type Outcome int

// The outcomes of a request.
const (
	// Unknown says nothing of the endpoint.
	Unknown Outcome = iota
	// Served means that the endpoint answered.
	Served
	// Failed means that the endpoint failed.
	Failed
)

// Done takes the end of a request at an endpoint.
func (t *Table) Done(name string, outcome Outcome, took time.Duration, now time.Time) {
	t.inFlight = max(0, t.inFlight-1)
	s, ok := t.states[name]
	if !ok {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	switch outcome {
	case Served:
		t.count(s, -1)
		s.failures, s.probing = 0, false
		t.count(s, 1)
		s.service.add(took.Seconds())
		t.service.add(took.Seconds())
	case Failed:
		t.failed(s, now)
	default:
		s.probing = false
	}
}

// Silent takes that an endpoint did not answer for its load.
func (t *Table) Silent(name string, now time.Time) {
	if s, ok := t.states[name]; ok {
		s.silent = true
		t.failed(s, now)
	}
}

// failed keeps requests away for a time that doubles with every failure.
func (t *Table) failed(s *state, now time.Time) {
	t.count(s, -1)
	s.probing = false
	backoff := t.params.FirstBackoff << min(s.failures, 5)
	s.failures++
	backoff = min(backoff, t.params.LastBackoff)
	backoff += time.Duration(t.random.Float64() * float64(backoff) / 2)
	s.retryAt = now.Add(backoff)
}

// Names returns the endpoints that may take requests.
func (t *Table) Names() []string {
	names := make([]string, 0, len(t.local)+len(t.remote))
	for _, list := range [][]*state{t.local, t.remote} {
		for _, s := range list {
			names = append(names, s.endpoint.Name())
		}
	}
	slices.Sort(names)
	return names
}
