package model

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Faults are what goes wrong in a run.
type Faults struct {
	// ReportLag is how late load reports arrive.
	ReportLag time.Duration
	// LoseEngine loses one engine for good in the middle of the trace.
	LoseEngine bool
}

// call is a program's call on its way.
type call struct {
	run     *run
	number  int
	tries   int
	issued  float64
	arrived float64
}

func (c *call) turn() turn { return c.run.plan.turns[c.number] }

// prompt returns the tokens of the history and the new prompt.
func (c *call) prompt() int { return c.run.history + c.turn().prompt }

func (c *call) last() bool { return c.number == len(c.run.plan.turns)-1 }

// run is a program under way.
type run struct {
	plan     *plan
	vm       int
	parent   *call
	start    float64
	attained float64
	history  int
	ended    bool
}

// balancer decides for all VMs; the model calls it with the virtual time.
type balancer interface {
	// offer takes a call at its VM or refuses it with seconds to come back.
	offer(c *call, now float64) (comeBack float64, ok bool)
	// next returns a call that a VM sends now, and the engine.
	next(vm int, now float64) (c *call, engine int, ok bool)
	// done reports the end of a job; ok is false when it failed.
	done(j *job, engine int, ok bool, now float64)
	// report brings an engine's load to a VM.
	report(vm, engine int, r report, now float64)
	// silent tells a VM that an engine did not answer for its load.
	silent(vm, engine int, now float64)
	// evicted brings a cache event to a VM.
	evicted(vm, engine int, program string, at float64)
	// ended reports that a program has ended and whether to release its cache.
	ended(r *run) (release bool)
	// dropped reports that health checks found an engine lost.
	dropped(engine int)
}

type report struct {
	waiting int
	running int
	cached  int
}

// world is one run of a trace under a balancer.
type world struct {
	trace    Trace
	faults   Faults
	balancer balancer
	random   *rand.Rand
	engines  []*engine
	buckets  []bucket
	events   eventHeap
	sequence int
	now      float64
	left     int
	result   Result
}

// Run plays a trace under a policy and returns the measures.
func Run(trace Trace, policy Policy, faults Faults) Result {
	w := &world{trace: trace, faults: faults, random: rand.New(rand.NewPCG(7, 7))}
	w.balancer = policy.build(trace.size)
	for i := range trace.size.engines {
		w.engines = append(w.engines, newEngine(i, func(program string) { w.publish(i, program) }))
	}
	for _, rate := range trace.rates {
		w.buckets = append(w.buckets, newBucket(rate))
	}
	w.result = newResult(trace)
	w.left = len(trace.plans)
	for _, p := range trace.plans {
		w.at(p.arrival, func() { w.begin(p, w.random.IntN(trace.size.vms), nil) })
	}
	for i := range w.engines {
		w.at(w.random.Float64()*w.reportPeriod(), func() { w.reports(i) })
	}
	if faults.LoseEngine {
		w.at(trace.duration/2, w.loseEngine)
	}
	w.play()
	return w.result.finish(trace, w.now)
}

func (w *world) play() {
	for len(w.events) > 0 && w.left > 0 {
		e := heap.Pop(&w.events).(event)
		if e.at > w.trace.duration*drainFactor {
			w.now = w.trace.duration * drainFactor
			return
		}
		w.now = e.at
		e.do()
	}
}

func (w *world) at(at float64, do func()) {
	w.sequence++
	heap.Push(&w.events, event{at: at, sequence: w.sequence, do: do})
}

func (w *world) begin(p *plan, vm int, parent *call) {
	r := &run{plan: p, vm: vm, parent: parent, start: w.now}
	if parent == nil {
		w.result.begun(r)
	}
	w.issue(r, 0)
}

func (w *world) issue(r *run, number int) {
	c := &call{run: r, number: number, issued: w.now}
	w.at(w.now+w.trace.size.clientDelay, func() { w.arrive(c) })
}

// arrive admits a call by its team's rate and offers it to its VM.
func (w *world) arrive(c *call) {
	team := c.run.plan.team
	if wait := w.buckets[team].take(w.now); wait > 0 {
		w.result.refusedByRate++
		w.comeBack(c, wait+w.random.Float64()*rateSpread, w.arrive)
		return
	}
	w.offer(c)
}

func (w *world) offer(c *call) {
	c.arrived = w.now
	comeBack, ok := w.balancer.offer(c, w.now)
	if ok {
		w.dispatch(c.run.vm)
		return
	}
	w.result.refused[c.run.plan.team]++
	w.comeBack(c, comeBack, w.offer)
}

// comeBack tries a refused call again, until its caller gives up.
func (w *world) comeBack(c *call, wait float64, do func(*call)) {
	c.tries++
	if c.tries > maxComeBacks {
		w.end(c.run, false)
		return
	}
	w.at(w.now+wait, func() { do(c) })
}

// dispatch sends the calls that a VM may send now.
func (w *world) dispatch(vm int) {
	for {
		c, index, ok := w.balancer.next(vm, w.now)
		if !ok {
			return
		}
		j := &job{call: c, vm: vm, sent: w.now}
		w.at(w.now+w.delay(vm, index), func() { w.receive(j, index) })
	}
}

// delay is the way between a VM and an engine; both stand in the data centre
// of their index.
func (w *world) delay(vm, index int) float64 {
	n := w.trace.size.dataCentres
	if vm%n == index%n {
		return w.trace.size.zoneDelay / 10
	}
	return w.trace.size.zoneDelay
}

func (w *world) receive(j *job, index int) {
	e := w.engines[index]
	if e.lost {
		w.at(w.now+connectTimeout, func() { w.failed(j, index) })
		return
	}
	e.advance(w.now)
	e.waiting = append(e.waiting, j)
	w.settle(e)
}

func (w *world) settle(e *engine) {
	done := e.settle()
	e.generation++
	generation := e.generation
	if wait, ok := e.next(); ok {
		w.at(w.now+wait, func() {
			if e.generation == generation {
				e.advance(w.now)
				w.settle(e)
			}
		})
	}
	for _, j := range done {
		w.at(w.now+w.delay(j.vm, e.index), func() { w.finished(j, e.index) })
	}
}

func (w *world) finished(j *job, index int) {
	r, t := j.call.run, j.call.turn()
	w.result.served(j, w.now)
	w.balancer.done(j, index, true, w.now)
	r.history = j.call.prompt() + t.completion
	r.attained += float64(t.prompt) + serviceOf(t.completion)
	w.follow(j.call)
	w.dispatch(j.vm)
}

func (w *world) failed(j *job, index int) {
	w.result.retries++
	w.balancer.done(j, index, false, w.now)
	w.offer(j.call)
	w.dispatch(j.vm)
}

// follow goes on with the program: after a pause, after a sub-agent, or ends.
func (w *world) follow(c *call) {
	r, t := c.run, c.turn()
	if t.child != nil {
		w.begin(t.child, r.vm, c)
		return
	}
	if c.last() {
		w.end(r, true)
		return
	}
	w.at(w.now+t.pause+2*w.trace.size.clientDelay, func() { w.issue(r, c.number+1) })
}

func (w *world) end(r *run, completed bool) {
	r.ended = true
	if w.balancer.ended(r) {
		w.release(r.plan.id)
	}
	if r.parent == nil {
		w.left--
		w.result.ended(r, w.now, completed)
		return
	}
	parent := r.parent
	if parent.last() || !completed {
		w.end(parent.run, completed)
		return
	}
	w.issue(parent.run, parent.number+1)
}

func (w *world) release(program string) {
	for _, e := range w.engines {
		e.take(program)
	}
}

// reportPeriod is how often a VM hears of one engine.
func (w *world) reportPeriod() float64 { return float64(w.trace.size.engines) / pollsPerSecond }

func (w *world) reports(index int) {
	e := w.engines[index]
	w.at(w.now+w.reportPeriod(), func() { w.reports(index) })
	if e.lost {
		w.silent(index)
		return
	}
	if index == len(w.engines)-1 && w.now < w.trace.duration {
		w.result.observe(w.engines)
	}
	r := report{waiting: len(e.waiting), running: e.running(), cached: e.pinned + e.cached}
	lag := max(w.faults.ReportLag.Seconds(), 0.05)
	for vm := range w.trace.size.vms {
		w.at(w.now+lag, func() {
			w.balancer.report(vm, index, r, w.now)
			w.dispatch(vm)
		})
	}
}

// silent lets the VMs find out that a lost engine does not answer.
func (w *world) silent(index int) {
	w.at(w.now+connectTimeout, func() {
		for vm := range w.trace.size.vms {
			w.balancer.silent(vm, index, w.now)
		}
	})
}

// publish sends a cache event late, or loses it.
func (w *world) publish(index int, program string) {
	if w.random.Float64() < eventLoss {
		return
	}
	at := w.now
	w.at(w.now+eventDelay, func() {
		for vm := range w.trace.size.vms {
			w.balancer.evicted(vm, index, program, at)
		}
	})
}

func (w *world) loseEngine() {
	e := w.engines[0]
	e.advance(w.now)
	for _, j := range e.lose() {
		w.at(w.now+connectTimeout, func() { w.failed(j, 0) })
	}
	e.generation++
	w.at(w.now+healthCheck, func() { w.balancer.dropped(0) })
}

type event struct {
	at       float64
	sequence int
	do       func()
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
