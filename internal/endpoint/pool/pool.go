package pool

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
)

const (
	noEndpointRetryAfter = time.Second
	// minTimeSlotRetryAfter is the shortest retry delay of a request whose
	// endpoints have exhausted their rate limits.
	minTimeSlotRetryAfter = 50 * time.Millisecond
)

// Pool picks endpoints by the load and the failures that this VM has recorded
// for them; it implements hawthornrail.Picker and hawthornrail.Capacity.
type Pool struct {
	config     hawthornrail.Configuration
	clock      hawthornrail.Clock
	dataCentre string
	vm         string
	params     endpoint.Params

	// evacuatedRefusals and limitRefusals count requests that were refused because all
	// endpoints were in evacuated data centres, or had exhausted their rate limits.
	evacuatedRefusals atomic.Int64
	limitRefusals     atomic.Int64

	mu       sync.Mutex
	snapshot *hawthornrail.Snapshot
	groups   map[groupKey]*group
}

// groupKey identifies a model or service.
type groupKey struct {
	kind   hawthornrail.EndpointKind
	target string
}

// group tracks the endpoints that serve one model or service.
type group struct {
	mu    sync.Mutex
	table *endpoint.Table
}

// New returns a pool over the configuration's endpoints for a VM in a data
// centre.
func New(config hawthornrail.Configuration, clock hawthornrail.Clock, dataCentre, vm string, params endpoint.Params) *Pool {
	return &Pool{
		config: config, clock: clock, dataCentre: dataCentre, vm: vm, params: params,
		groups: make(map[groupKey]*group),
	}
}

// Pick returns the endpoint with the lowest expected time to the first token.
func (p *Pool) Pick(q hawthornrail.PickQuery) (hawthornrail.Endpoint, error) {
	if g := p.group(groupKey{q.Kind(), q.Target()}); g != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		now := p.clock.Now()
		if e, ok := g.table.Choose(q, now); ok {
			return e, nil
		}
		if perSecond := g.table.ExhaustedRate(q, now); perSecond > 0 {
			p.limitRefusals.Add(1)
			f := hawthornrail.NotRun(hawthornrail.CodeNoEndpoint, "all endpoints that serve %s have exhausted their rate limits", q.Target())
			return hawthornrail.Endpoint{}, f.WithRetryAfter(timeSlotRetryAfter(perSecond))
		}
		if g.table.Evacuated(q) {
			return hawthornrail.Endpoint{}, p.refuseEvacuated("the endpoints that serve %s are in evacuated data centres", q.Target())
		}
	}
	f := hawthornrail.NotRun(hawthornrail.CodeNoEndpoint, "no endpoint serves %s", q.Target())
	return hawthornrail.Endpoint{}, f.WithRetryAfter(noEndpointRetryAfter + rand.N(noEndpointRetryAfter))
}

// refuseEvacuated counts a refusal. How long an evacuation lasts is not known; the retry
// delay spreads the callers over the first seconds after its end.
func (p *Pool) refuseEvacuated(format, name string) error {
	p.evacuatedRefusals.Add(1)
	f := hawthornrail.NotRun(hawthornrail.CodeNoEndpoint, format, name)
	return f.WithRetryAfter(noEndpointRetryAfter + rand.N(noEndpointRetryAfter))
}

// PickNamed returns the endpoint that alone may run a request, or a Failure if it may not
// be sent a request now. listed is false if no such endpoint is listed.
func (p *Pool) PickNamed(name string, q hawthornrail.PickQuery) (e hawthornrail.Endpoint, listed bool, err error) {
	g := p.group(groupKey{q.Kind(), q.Target()})
	if g == nil {
		return hawthornrail.Endpoint{}, false, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e, refusal := g.table.ChooseNamed(name, q, p.clock.Now())
	switch refusal {
	case endpoint.NotListed:
		return hawthornrail.Endpoint{}, false, nil
	case endpoint.InEvacuation:
		return hawthornrail.Endpoint{}, true, p.refuseEvacuated("endpoint %s is in an evacuated data centre", name)
	case endpoint.StillCold:
		p.limitRefusals.Add(1)
		f := hawthornrail.NotRun(hawthornrail.CodeNoEndpoint, "endpoint %s is cold", name)
		return hawthornrail.Endpoint{}, true, f.WithRetryAfter(noEndpointRetryAfter + rand.N(noEndpointRetryAfter))
	case endpoint.NotRefused:
	}
	return e, true, nil
}

// EvacuatedRefusals returns how many requests were refused because all endpoints were in
// evacuated data centres.
func (p *Pool) EvacuatedRefusals() int64 { return p.evacuatedRefusals.Load() }

// LimitRefusals returns how many requests were refused because all endpoints had
// exhausted their rate limits.
func (p *Pool) LimitRefusals() int64 { return p.limitRefusals.Load() }

// timeSlotRetryAfter returns the retry delay for a request that has to wait for a
// time slot, of which the VMs together have perSecond. The request may come back
// to any of them; a random part spreads the callers.
func timeSlotRetryAfter(perSecond float64) time.Duration {
	interval := max(minTimeSlotRetryAfter, time.Duration(float64(time.Second)/perSecond))
	return interval + rand.N(interval)
}

// Done records the result of a request and the tokens that its endpoint now
// caches for the program.
func (p *Pool) Done(name string, q hawthornrail.PickQuery, err error, usage hawthornrail.Usage, duration time.Duration) {
	g := p.group(groupKey{q.Kind(), q.Target()})
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := p.clock.Now()
	outcome := outcomeOf(err)
	g.table.Done(name, outcome, duration, now)
	if outcome == endpoint.Served {
		g.table.Cached(q.Program(), name, int(usage.Total()), now)
		g.table.CachedParts(q, name, now)
	}
}

// Learn records a served request from which the speed of its endpoint is learnt; it
// is called before Done.
func (p *Pool) Learn(name string, q hawthornrail.PickQuery, sample endpoint.Sample) {
	if g := p.group(groupKey{q.Kind(), q.Target()}); g != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.table.Learn(name, q, sample, p.clock.Now())
	}
}

// Estimate returns what the choice of an endpoint for a query was based on; ok is
// false if it reports no pace.
func (p *Pool) Estimate(name string, q hawthornrail.PickQuery) (estimate endpoint.Estimate, ok bool) {
	g := p.group(groupKey{q.Kind(), q.Target()})
	if g == nil {
		return estimate, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Estimate(name, p.clock.Now())
}

// outcomeOf counts only CodeEndpointFailed as a failure of the endpoint: a step
// that was not replicated or a caller that disconnected says nothing about it.
func outcomeOf(err error) endpoint.Outcome {
	switch {
	case err == nil:
		return endpoint.Served
	case hawthornrail.AsFailure(err).Code() == hawthornrail.CodeEndpointFailed:
		return endpoint.Failed
	default:
		return endpoint.Unknown
	}
}

// Capacity returns how many requests this VM may have in flight for a model or
// service, and whether new programs may start.
func (p *Pool) Capacity(kind hawthornrail.EndpointKind, target string) (int, bool) {
	g := p.group(groupKey{kind, target})
	if g == nil {
		return 1, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.table.Allowance()
	return a.Requests(), a.Fresh()
}

// Report records the load that an endpoint has reported.
func (p *Pool) Report(e hawthornrail.Endpoint, r endpoint.Report) {
	p.forEachTable(e, func(t *endpoint.Table, now time.Time) { t.Report(e.Name(), r, now) })
}

// MarkDraining records that an endpoint has reported that it is draining: it
// gets no new requests, whatever the configuration says. first is false if this
// was already recorded.
func (p *Pool) MarkDraining(e hawthornrail.Endpoint) (first bool) {
	p.forEachTable(e, func(t *endpoint.Table, _ time.Time) { first = t.MarkDraining(e.Name()) || first })
	return first
}

// Draining reports whether an endpoint has reported that it is draining.
func (p *Pool) Draining(e hawthornrail.Endpoint) (draining bool) {
	p.forEachTable(e, func(t *endpoint.Table, _ time.Time) { draining = t.Draining(e.Name()) || draining })
	return draining
}

// SetRateLimit records how many requests a second an endpoint accepts from all
// VMs together, or 0 for no limit; it reports whether a limit starts or ends.
func (p *Pool) SetRateLimit(e hawthornrail.Endpoint, perSecond float64) (changed bool) {
	p.forEachTable(e, func(t *endpoint.Table, now time.Time) { changed = t.SetRateLimit(e.Name(), perSecond, now) || changed })
	return changed
}

// MarkUnresponsive records that an endpoint did not respond to a poll of its
// load.
func (p *Pool) MarkUnresponsive(e hawthornrail.Endpoint) {
	p.forEachTable(e, func(t *endpoint.Table, now time.Time) { t.MarkUnresponsive(e.Name(), now) })
}

func (p *Pool) forEachTable(e hawthornrail.Endpoint, apply func(*endpoint.Table, time.Time)) {
	for _, target := range e.Serves() {
		if g := p.group(groupKey{e.Kind(), target}); g != nil {
			g.mu.Lock()
			apply(g.table, p.clock.Now())
			g.mu.Unlock()
		}
	}
}

// group returns the group of a model or service under the current
// configuration, or nil.
func (p *Pool) group(k groupKey) *group {
	snapshot := p.config.Snapshot()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot != snapshot {
		p.refreshGroups(snapshot)
	}
	return p.groups[k]
}

func (p *Pool) refreshGroups(snapshot *hawthornrail.Snapshot) {
	members := make(map[groupKey][]hawthornrail.Endpoint)
	for _, e := range snapshot.Endpoints() {
		for _, target := range e.Serves() {
			k := groupKey{e.Kind(), target}
			members[k] = append(members[k], e)
		}
	}
	for k, g := range p.groups {
		if _, ok := members[k]; !ok {
			members[k] = nil
		}
		p.setEndpoints(g, k, members[k], snapshot)
	}
	for k, endpoints := range members {
		if _, ok := p.groups[k]; ok {
			continue
		}
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		g := &group{table: endpoint.NewTable(p.params, p.dataCentre, random)}
		p.groups[k] = g
		p.setEndpoints(g, k, endpoints, snapshot)
	}
	p.snapshot = snapshot
}

func (p *Pool) setEndpoints(g *group, k groupKey, endpoints []hawthornrail.Endpoint, snapshot *hawthornrail.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetSenders(len(snapshot.VMs()))
	g.table.SetTimeSlots(p.timeSlots(snapshot.VMs()))
	conditions := endpoint.NewConditions(snapshot.Evacuations(), p.clock.Now())
	if service, ok := snapshot.Service(k.target); ok {
		if duration, perSecond, limited := service.ColdStart(); limited {
			conditions = conditions.WithColdStart(duration, perSecond)
		}
	}
	g.table.SetConditions(conditions)
	g.table.Set(endpoints)
}

// timeSlots returns this VM's position among the VMs that send to endpoints: where
// some VMs hold rates for the others, only the others do.
func (p *Pool) timeSlots(vms []hawthornrail.VM) endpoint.TimeSlots {
	names := []string{p.vm}
	onlyOthers := slices.ContainsFunc(vms, func(v hawthornrail.VM) bool { return !v.HoldsRates() })
	for _, v := range vms {
		if !onlyOthers || !v.HoldsRates() {
			names = append(names, v.Name())
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return endpoint.NewTimeSlots(slices.Index(names, p.vm), len(names))
}
