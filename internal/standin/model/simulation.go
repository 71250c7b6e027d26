package model

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Faults are the faults injected into a run.
type Faults struct {
	// ReportLag is the delay of load reports.
	ReportLag time.Duration
	// FailEngine stops one engine permanently in the middle of the trace.
	FailEngine bool
}

// call is a program's call in flight.
type call struct {
	run       *run
	turnIndex int
	attempts  int
	issuedAt  float64
	arrivedAt float64
}

func (c *call) turn() turn { return c.run.plan.turns[c.turnIndex] }

// prompt returns the number of tokens of the history and the new prompt.
func (c *call) prompt() int { return c.run.history + c.turn().prompt }

func (c *call) last() bool { return c.turnIndex == len(c.run.plan.turns)-1 }

// run is a program in flight.
type run struct {
	plan     *plan
	vm       int
	parent   *call
	start    float64
	attained float64
	history  int
	ended    bool
}

// balancer schedules calls for all VMs; the model passes the virtual time.
type balancer interface {
	// enqueue accepts a call at its VM or refuses it with the seconds to retry
	// after.
	enqueue(c *call, now float64) (retryAfter float64, ok bool)
	// next returns a call that a VM sends now and the index of its engine.
	next(vm int, now float64) (c *call, engine int, ok bool)
	// done reports that a job has ended; ok is false when it failed.
	done(j *job, engine int, ok bool, now float64)
	// report delivers an engine's load report to a VM.
	report(vm, engine int, r loadReport, now float64)
	// unresponsive notifies a VM that an engine did not respond to a load poll.
	unresponsive(vm, engine int, now float64)
	// evicted delivers a cache eviction event to a VM.
	evicted(vm, engine int, program string, at float64)
	// ended reports that a program has ended; release is true if the engines
	// must free its cache.
	ended(r *run) (release bool)
	// unhealthy reports that health checks found a failed engine.
	unhealthy(engine int)
}

type loadReport struct {
	waiting int
	running int
	cached  int
}

// simulation is one run of a trace under a balancer.
type simulation struct {
	trace      Trace
	faults     Faults
	balancer   balancer
	random     *rand.Rand
	engines    []*engine
	buckets    []bucket
	events     eventHeap
	sequence   int
	now        float64
	unfinished int
	result     Result
}

// Run simulates a trace under a policy and returns the measurements.
func Run(trace Trace, policy Policy, faults Faults) Result {
	sim := &simulation{trace: trace, faults: faults, random: rand.New(rand.NewPCG(7, 7))}
	sim.balancer = policy.build(trace.size)
	for i := range trace.size.engines {
		sim.engines = append(sim.engines, newEngine(i, func(program string) { sim.publishEviction(i, program) }))
	}
	for _, rate := range trace.rates {
		sim.buckets = append(sim.buckets, newBucket(rate))
	}
	sim.result = newResult(trace)
	sim.unfinished = len(trace.plans)
	for _, p := range trace.plans {
		sim.schedule(p.arrival, func() { sim.startProgram(p, sim.random.IntN(trace.size.vms), nil) })
	}
	for i := range sim.engines {
		sim.schedule(sim.random.Float64()*sim.pollPeriod(), func() { sim.pollEngine(i) })
	}
	if faults.FailEngine {
		sim.schedule(trace.duration/2, sim.failEngine)
	}
	sim.runEvents()
	return sim.result.finish(trace, sim.now)
}

func (sim *simulation) runEvents() {
	for len(sim.events) > 0 && sim.unfinished > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at > sim.trace.duration*maxRunFactor {
			sim.now = sim.trace.duration * maxRunFactor
			return
		}
		sim.now = e.at
		e.action()
	}
}

func (sim *simulation) schedule(at float64, action func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: at, sequence: sim.sequence, action: action})
}

func (sim *simulation) startProgram(p *plan, vm int, parent *call) {
	r := &run{plan: p, vm: vm, parent: parent, start: sim.now}
	if parent == nil {
		sim.result.programStarted(r)
	}
	sim.issueCall(r, 0)
}

func (sim *simulation) issueCall(r *run, turnIndex int) {
	c := &call{run: r, turnIndex: turnIndex, issuedAt: sim.now}
	sim.schedule(sim.now+sim.trace.size.clientDelay, func() { sim.admitByRate(c) })
}

// admitByRate applies the team's rate to a call and enqueues it at its VM.
func (sim *simulation) admitByRate(c *call) {
	team := c.run.plan.team
	if wait := sim.buckets[team].take(sim.now); wait > 0 {
		sim.result.refusedByRate++
		sim.retryLater(c, wait+sim.random.Float64()*retryJitter, sim.admitByRate)
		return
	}
	sim.enqueue(c)
}

func (sim *simulation) enqueue(c *call) {
	c.arrivedAt = sim.now
	retryAfter, ok := sim.balancer.enqueue(c, sim.now)
	if ok {
		sim.dispatch(c.run.vm)
		return
	}
	sim.result.refused[c.run.plan.team]++
	sim.retryLater(c, retryAfter, sim.enqueue)
}

// retryLater retries a refused call after wait seconds; its program is
// abandoned after maxRetries.
func (sim *simulation) retryLater(c *call, wait float64, action func(*call)) {
	c.attempts++
	if c.attempts > maxRetries {
		sim.endProgram(c.run, false)
		return
	}
	sim.schedule(sim.now+wait, func() { action(c) })
}

// dispatch sends all calls that the balancer lets a VM send now.
func (sim *simulation) dispatch(vm int) {
	for {
		c, index, ok := sim.balancer.next(vm, sim.now)
		if !ok {
			return
		}
		j := &job{call: c, vm: vm, sentAt: sim.now}
		sim.schedule(sim.now+sim.networkDelay(vm, index), func() { sim.deliver(j, index) })
	}
}

// networkDelay returns the seconds one way between a VM and an engine. The
// data centre of each is its index modulo the number of data centres.
func (sim *simulation) networkDelay(vm, index int) float64 {
	n := sim.trace.size.dataCentres
	if vm%n == index%n {
		return sim.trace.size.zoneDelay / 10
	}
	return sim.trace.size.zoneDelay
}

func (sim *simulation) deliver(j *job, index int) {
	e := sim.engines[index]
	if e.failed {
		sim.schedule(sim.now+connectTimeout, func() { sim.failCall(j, index) })
		return
	}
	e.advance(sim.now)
	e.waiting = append(e.waiting, j)
	sim.updateEngine(e)
}

func (sim *simulation) updateEngine(e *engine) {
	done := e.collectFinished()
	e.generation++
	generation := e.generation
	if wait, ok := e.nextCompletion(); ok {
		sim.schedule(sim.now+wait, func() {
			if e.generation == generation {
				e.advance(sim.now)
				sim.updateEngine(e)
			}
		})
	}
	for _, j := range done {
		sim.schedule(sim.now+sim.networkDelay(j.vm, e.index), func() { sim.completeCall(j, e.index) })
	}
}

func (sim *simulation) completeCall(j *job, index int) {
	r, t := j.call.run, j.call.turn()
	sim.result.callServed(j, sim.now)
	sim.balancer.done(j, index, true, sim.now)
	r.history = j.call.prompt() + t.completion
	r.attained += float64(t.prompt) + decodeCost(t.completion)
	sim.continueProgram(j.call)
	sim.dispatch(j.vm)
}

func (sim *simulation) failCall(j *job, index int) {
	sim.result.retries++
	sim.balancer.done(j, index, false, sim.now)
	sim.enqueue(j.call)
	sim.dispatch(j.vm)
}

// continueProgram starts a sub-agent if the turn has one; otherwise it ends the
// program after the last turn or issues the next call after a pause.
func (sim *simulation) continueProgram(c *call) {
	r, t := c.run, c.turn()
	if t.subAgent != nil {
		sim.startProgram(t.subAgent, r.vm, c)
		return
	}
	if c.last() {
		sim.endProgram(r, true)
		return
	}
	sim.schedule(sim.now+t.pause+2*sim.trace.size.clientDelay, func() { sim.issueCall(r, c.turnIndex+1) })
}

func (sim *simulation) endProgram(r *run, completed bool) {
	r.ended = true
	if sim.balancer.ended(r) {
		sim.releaseCache(r.plan.id)
	}
	if r.parent == nil {
		sim.unfinished--
		sim.result.programEnded(r, sim.now, completed)
		return
	}
	parent := r.parent
	if parent.last() || !completed {
		sim.endProgram(parent.run, completed)
		return
	}
	sim.issueCall(parent.run, parent.turnIndex+1)
}

func (sim *simulation) releaseCache(program string) {
	for _, e := range sim.engines {
		e.removeEntry(program)
	}
}

// pollPeriod returns the seconds between two polls of one engine by a VM.
func (sim *simulation) pollPeriod() float64 { return float64(sim.trace.size.engines) / pollsPerSecond }

func (sim *simulation) pollEngine(index int) {
	e := sim.engines[index]
	sim.schedule(sim.now+sim.pollPeriod(), func() { sim.pollEngine(index) })
	if e.failed {
		sim.notifyUnresponsive(index)
		return
	}
	if index == len(sim.engines)-1 && sim.now < sim.trace.duration {
		sim.result.sampleImbalance(sim.engines)
	}
	r := loadReport{waiting: len(e.waiting), running: e.running(), cached: e.pinned + e.cached}
	lag := max(sim.faults.ReportLag.Seconds(), 0.05)
	for vm := range sim.trace.size.vms {
		sim.schedule(sim.now+lag, func() {
			sim.balancer.report(vm, index, r, sim.now)
			sim.dispatch(vm)
		})
	}
}

// notifyUnresponsive notifies the VMs after the connect timeout that a failed
// engine does not respond.
func (sim *simulation) notifyUnresponsive(index int) {
	sim.schedule(sim.now+connectTimeout, func() {
		for vm := range sim.trace.size.vms {
			sim.balancer.unresponsive(vm, index, sim.now)
		}
	})
}

// publishEviction delivers a cache eviction event to the VMs after eventDelay,
// or loses it with a probability of eventLoss.
func (sim *simulation) publishEviction(index int, program string) {
	if sim.random.Float64() < eventLoss {
		return
	}
	at := sim.now
	sim.schedule(sim.now+eventDelay, func() {
		for vm := range sim.trace.size.vms {
			sim.balancer.evicted(vm, index, program, at)
		}
	})
}

func (sim *simulation) failEngine() {
	e := sim.engines[0]
	e.advance(sim.now)
	for _, j := range e.fail() {
		sim.schedule(sim.now+connectTimeout, func() { sim.failCall(j, 0) })
	}
	e.generation++
	sim.schedule(sim.now+healthCheckDelay, func() { sim.balancer.unhealthy(0) })
}

type event struct {
	at       float64
	sequence int
	action   func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
