package endpoint

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Params are the parameters of a Table.
type Params struct {
	// PrefillPerSecond is an engine's prompt tokens per second.
	PrefillPerSecond float64
	// PrefillFactor is the factor by which a prefill costs more than its own
	// time, since it also delays the requests that are decoding.
	PrefillFactor float64
	// BatchCost is the fraction of a request's duration that a full batch adds.
	BatchCost float64
	// RemoteCost is the additional cost of an endpoint in another data centre.
	RemoteCost time.Duration
	// ConnectCost is the additional cost of an endpoint to which this VM has no idle
	// connection: a round trip, and work for the endpoint.
	ConnectCost time.Duration
	// ReportHalfLife is the age at which a load report has half its weight.
	ReportHalfLife time.Duration
	// HintHalfLife is the age at which a hint on cached tokens has half its
	// weight.
	HintHalfLife time.Duration
	// SampleSize is the number of endpoints that are sampled for a choice, in the
	// own data centre and in the others each.
	SampleSize int
	// NearEqual is the difference in cost within which the choice is random.
	NearEqual time.Duration
	// PaceHalfLife is the age at which a reported pace has half its weight.
	PaceHalfLife time.Duration
	// PacedReportHalfLife is ReportHalfLife for endpoints that report their pace.
	PacedReportHalfLife time.Duration
	// PacedNearShare is the fraction of the lowest cost by which a cost may be higher
	// for the choice to be random, among endpoints that report their pace.
	PacedNearShare float64
	// CacheShare is the fraction of the cache above which no new programs start.
	CacheShare float64
	// IdleShare is the fraction of used slots below which a full cache does not
	// keep new programs from starting.
	IdleShare float64
	// FirstBackoff and LastBackoff are the minimum and maximum time before a
	// failed endpoint is probed again, without jitter.
	FirstBackoff time.Duration
	LastBackoff  time.Duration
	// RetryFailedEarly allows a request to a failed endpoint before its retry time
	// when no other endpoint is available.
	RetryFailedEarly bool
}

// DefaultParams returns the parameters of the process.
func DefaultParams() Params {
	return Params{
		PrefillPerSecond: 12_000, PrefillFactor: 20, BatchCost: 0.25,
		RemoteCost: 20 * time.Millisecond, ReportHalfLife: 4 * time.Second, HintHalfLife: 10 * time.Minute,
		SampleSize: 16, NearEqual: 50 * time.Millisecond, CacheShare: 0.9, IdleShare: 0.5,
		PaceHalfLife: 200 * time.Millisecond, PacedReportHalfLife: 150 * time.Millisecond, PacedNearShare: 0.05,
		FirstBackoff: time.Second, LastBackoff: 30 * time.Second,
	}
}

// ForwardParams returns the parameters for forwarded requests: turns of a few
// hundred milliseconds at engines with fast prefill.
func ForwardParams() Params {
	return Params{
		PrefillPerSecond: 112_000, PrefillFactor: 2, BatchCost: 0.25,
		RemoteCost: 12 * time.Millisecond, ConnectCost: 4 * time.Millisecond, ReportHalfLife: 500 * time.Millisecond, HintHalfLife: time.Minute,
		SampleSize: 32, NearEqual: 2 * time.Millisecond, CacheShare: 0.9, IdleShare: 0.5,
		PaceHalfLife: 200 * time.Millisecond, PacedReportHalfLife: 150 * time.Millisecond, PacedNearShare: 0.05,
		FirstBackoff: 200 * time.Millisecond, LastBackoff: 2 * time.Second, RetryFailedEarly: true,
	}
}

const (
	assumedSlots   = 32
	assumedService = 5.0 // seconds
	maxHints       = 1 << 16
)

// hint is the endpoint that probably caches a program's prompt.
type hint struct {
	endpoint  string
	tokens    int
	updatedAt time.Time
}

// Table is a VM's state of the endpoints that serve one model or service. Its
// methods take the current time as an argument, so that decisions are
// deterministic. Callers serialise them.
type Table struct {
	params       Params
	dataCentre   string
	random       *rand.Rand
	senders      int
	timeSlots    TimeSlots
	conditions   Conditions
	states       map[string]*endpointState
	listed       []hawthornrail.Endpoint
	draining     *drainingSet
	unlisted     unlistedLimits
	local        []*endpointState
	remote       []*endpointState
	hints        map[string]hint
	parts        partHints
	serviceTime  average
	inFlight     int
	withoutSlots int
	// paced is the number of endpoints that report their pace.
	paced int
	work  workModel
	sums
}

// sums are totals over the endpoints that neither are draining, evacuated nor have failed.
// All but slots cover only endpoints with a report.
type sums struct {
	slots             int
	reporting         int
	reportedSlots     int
	inFlightAtReports int
	otherRequests     int
	freeSlots         int
	freeCacheTokens   int
}

// NewTable returns an empty table of a VM in a data centre. random is used for
// sampling, for choices between nearly equal endpoints and for jitter.
func NewTable(params Params, dataCentre string, random *rand.Rand) *Table {
	return &Table{
		params: params, dataCentre: dataCentre, random: random, senders: 1, timeSlots: NewTimeSlots(0, 1),
		states: make(map[string]*endpointState), draining: newDrainingSet(), unlisted: make(unlistedLimits), hints: make(map[string]hint), parts: make(partHints),
	}
}

// SetSenders sets the number of VMs, this one included, that send to the
// same endpoints.
func (t *Table) SetSenders(n int) { t.senders = max(1, n) }

// SetTimeSlots sets when this VM may send to endpoints with a rate limit.
func (t *Table) SetTimeSlots(slots TimeSlots) { t.timeSlots = slots }

// Set replaces the endpoints and keeps the state of those that remain.
func (t *Table) Set(endpoints []hawthornrail.Endpoint) {
	old := t.states
	t.listed = endpoints
	t.states = make(map[string]*endpointState, len(endpoints))
	t.local, t.remote, t.withoutSlots, t.paced = nil, nil, 0, 0
	for _, e := range endpoints {
		if t.draining.has(e.Name()) {
			e = e.WithDraining(true)
		}
		s, ok := old[e.Name()]
		if !ok {
			s = &endpointState{limit: t.unlisted.take(e.Name())}
		}
		delete(old, e.Name())
		previous := s.endpoint.Entry()
		s.endpoint, s.slots = e, e.Slots()
		s.evacuated = t.conditions.evacuations.Evacuated(e.DataCentre())
		t.updateCold(s, previous, ok)
		if s.slots <= 0 {
			t.withoutSlots++
			s.slots = assumedSlots
		}
		t.states[e.Name()] = s
		if s.report.pace > 0 {
			t.paced++
		}
		if e.Draining() || s.evacuated {
			continue
		}
		if e.DataCentre() == t.dataCentre {
			t.local = append(t.local, s)
		} else {
			t.remote = append(t.remote, s)
		}
	}
	for name, s := range old {
		t.unlisted.keep(name, s.limit)
	}
	t.recount()
}

// MarkDraining records that an endpoint has reported that it is draining. It
// applies for as long as the name is used: a restarted endpoint has another name.
// first is false if it was recorded before.
func (t *Table) MarkDraining(name string) (first bool) {
	if !t.draining.add(name) {
		return false
	}
	t.Set(t.listed)
	return true
}

// Draining reports whether an endpoint has reported that it is draining.
func (t *Table) Draining(name string) bool { return t.draining.has(name) }

// SetRateLimit records how many requests a second an endpoint accepts from all
// VMs together, or 0 for no limit; it reports whether a limit starts or ends.
func (t *Table) SetRateLimit(name string, perSecond float64, now time.Time) (changed bool) {
	if s, ok := t.states[name]; ok {
		return s.limit.set(perSecond, now)
	}
	limit := t.unlisted.take(name)
	changed = limit.set(perSecond, now)
	t.unlisted.keep(name, limit)
	return changed
}

// ExhaustedRate returns the requests a second that the endpoints accept from all
// VMs which could be chosen if their rate limits were not exhausted for this VM.
func (t *Table) ExhaustedRate(q hawthornrail.PickQuery, now time.Time) (perSecond float64) {
	for _, list := range [][]*endpointState{t.local, t.remote} {
		for _, s := range list {
			if !s.unavailable(now) && admits(s, q) && s.limit.exhausted(t.timeSlots, now) {
				perSecond += s.limit.current(now)
			}
		}
	}
	return perSecond
}

// recount recomputes the sums over all endpoints.
func (t *Table) recount() {
	t.sums = sums{}
	for _, s := range t.states {
		t.addToSums(s, 1)
	}
}

// addToSums adds an endpoint to the sums, or subtracts it if sign is -1. Callers
// subtract an endpoint before they change it and add it again afterwards.
func (t *Table) addToSums(s *endpointState, sign int) {
	if s.endpoint.Draining() || s.evacuated || s.failures > 0 {
		return
	}
	t.slots += sign * s.slots
	if s.reportedAt.IsZero() {
		return
	}
	t.reporting += sign
	t.reportedSlots += sign * s.slots
	t.inFlightAtReports += sign * s.inFlightAtReport
	t.otherRequests += sign * s.otherRequests()
	t.freeSlots += sign * (s.slots - s.report.waiting - s.report.running)
	t.freeCacheTokens += sign * max(0, s.freeCacheTokens(t.params.CacheShare))
}

// Report records a load report of an endpoint.
func (t *Table) Report(name string, r Report, now time.Time) {
	s, ok := t.states[name]
	if !ok {
		return
	}
	t.addToSums(s, -1)
	if s.unresponsive {
		s.unresponsive, s.failures = false, 0
	}
	t.countPaced(s.report.pace, -1)
	t.countPaced(r.pace, 1)
	s.report, s.reportedAt, s.inFlightAtReport, s.tokensSinceReport = r, now, s.inFlight, 0
	s.others.add(s.otherRequests())
	t.addToSums(s, 1)
}

func (t *Table) countPaced(pace float64, sign int) {
	if pace > 0 {
		t.paced += sign
	}
}

// Allowance is the number of requests that a VM may have in flight.
type Allowance struct {
	requests int
	fresh    bool
}

// Requests returns the number of requests that may be in flight.
func (a Allowance) Requests() int { return a.requests }

// Fresh reports whether programs that have not run yet may start.
func (a Allowance) Fresh() bool { return a.fresh }

// Allowance returns what this VM may send: its equal share of the slots or, if
// more, its requests at the time of the reports plus its equal share of the free
// slots. There is no limit while an endpoint has no configured number of slots
// and none has reported.
func (t *Table) Allowance() Allowance {
	if t.slots == 0 {
		// Let requests pass, so that they are refused because no endpoint is
		// available.
		return Allowance{requests: t.inFlight + 1, fresh: true}
	}
	if t.withoutSlots > 0 && t.reporting == 0 {
		return Allowance{requests: math.MaxInt, fresh: true}
	}
	share := (t.slots + t.senders - 1) / t.senders
	requests := share
	if t.reporting > 0 {
		requests = max(share, t.inFlightAtReports+t.freeSlots/t.senders)
	}
	return Allowance{requests: requests, fresh: t.freeCacheTokens > 0 || t.idle()}
}

// idle reports whether so few slots are in use that a full cache does not keep
// new programs from starting.
func (t *Table) idle() bool {
	return float64(t.freeSlots) > float64(t.reportedSlots)*(1-t.params.IdleShare) || t.reporting == 0
}

// Cached records the number of tokens of a program's prompt in an endpoint's
// cache, from a cache event or from the usage in a response. With 0 tokens it
// removes the hint.
func (t *Table) Cached(program, endpoint string, tokens int, now time.Time) {
	if program == "" {
		return
	}
	previous, ok := t.hints[program]
	if tokens > 0 {
		if !ok && len(t.hints) >= maxHints {
			t.evictHints(now)
		}
		t.hints[program] = hint{endpoint: endpoint, tokens: tokens, updatedAt: now}
		return
	}
	if ok && previous.endpoint == endpoint {
		delete(t.hints, program)
	}
}

// Evicted removes the hint on a program after a delayed cache event, unless a
// later response has updated the hint.
func (t *Table) Evicted(program, endpoint string, at time.Time) {
	if current, ok := t.hints[program]; ok && current.endpoint == endpoint && current.updatedAt.Before(at) {
		delete(t.hints, program)
	}
}

// Forget removes the hint on a program that has ended.
func (t *Table) Forget(program string) { delete(t.hints, program) }

func (t *Table) evictHints(now time.Time) {
	for program, h := range t.hints {
		if now.Sub(h.updatedAt) > t.params.HintHalfLife {
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

// Outcome is the result of a request as far as it concerns its endpoint.
type Outcome int

// The outcomes of a request.
const (
	// Unknown means that the result allows no conclusion about the endpoint.
	Unknown Outcome = iota
	// Served means that the endpoint responded.
	Served
	// Failed means that the endpoint failed.
	Failed
)

// Done records the end of a request at an endpoint.
func (t *Table) Done(name string, outcome Outcome, took time.Duration, now time.Time) {
	t.inFlight = max(0, t.inFlight-1)
	s, ok := t.states[name]
	if !ok {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	switch outcome {
	case Served:
		t.addToSums(s, -1)
		s.failures, s.probing = 0, false
		t.addToSums(s, 1)
		s.serviceTime.update(took.Seconds())
		t.serviceTime.update(took.Seconds())
	case Failed:
		t.recordFailure(s, now)
	default:
		s.probing = false
	}
}

// MarkUnresponsive records that an endpoint did not reply to a load request.
func (t *Table) MarkUnresponsive(name string, now time.Time) {
	if s, ok := t.states[name]; ok {
		s.unresponsive = true
		t.recordFailure(s, now)
	}
}

// recordFailure excludes an endpoint for a time that doubles with every failure.
func (t *Table) recordFailure(s *endpointState, now time.Time) {
	t.addToSums(s, -1)
	s.probing = false
	s.connections = 0
	backoff := t.params.FirstBackoff << min(s.failures, 5)
	s.failures++
	backoff = min(backoff, t.params.LastBackoff)
	backoff += time.Duration(t.random.Float64() * float64(backoff) / 2)
	s.retryAt = now.Add(backoff)
}

// Names returns the names of the endpoints that are neither draining nor evacuated.
func (t *Table) Names() []string {
	names := make([]string, 0, len(t.local)+len(t.remote))
	for _, list := range [][]*endpointState{t.local, t.remote} {
		for _, s := range list {
			names = append(names, s.endpoint.Name())
		}
	}
	slices.Sort(names)
	return names
}
