package model

import (
	"container/heap"
	"container/list"
)

// job is a call that an engine has received.
type job struct {
	call             *call
	vm               int
	uncached         int
	remainingPrefill float64 // tokens
	finishAt         float64 // value of engine.progress at which the job ends
	pinned           int     // tokens
	sentAt           float64 // seconds
	started          bool
}

// engine models continuous batching: each step decodes one token of every
// decoding job and prefills one chunk of one prompt.
type engine struct {
	index      int
	now        float64
	waiting    []*job
	prefilling []*job
	decoding   jobHeap
	progress   float64 // tokens decoded per sequence since the start
	pinned     int     // tokens
	cached     int     // tokens of programs without a running job
	entries    map[string]*list.Element
	lru        *list.List
	generation int
	failed     bool
	onEvict    func(program string)
}

type cacheEntry struct {
	program string
	tokens  int
}

func newEngine(index int, onEvict func(program string)) *engine {
	return &engine{index: index, entries: make(map[string]*list.Element), lru: list.New(), onEvict: onEvict}
}

func (e *engine) running() int { return len(e.prefilling) + len(e.decoding) }

func (e *engine) stepSeconds() float64 {
	seconds := stepBase + stepPerSequence*float64(len(e.decoding))
	if len(e.prefilling) > 0 {
		seconds += prefillChunk / prefillPerSecond
	}
	return seconds
}

// advance moves the engine's state to now, which must not be later than its
// next completion.
func (e *engine) advance(now float64) {
	if elapsed := now - e.now; elapsed > 0 && e.running() > 0 {
		steps := elapsed / e.stepSeconds()
		e.progress += steps
		if len(e.prefilling) > 0 {
			e.prefilling[0].remainingPrefill -= steps * prefillChunk
		}
	}
	e.now = now
}

// nextCompletion returns the seconds until a job's prefill or decoding ends.
func (e *engine) nextCompletion() (float64, bool) {
	steps, ok := 0.0, false
	if len(e.prefilling) > 0 {
		steps, ok = max(0, e.prefilling[0].remainingPrefill/prefillChunk), true
	}
	if len(e.decoding) > 0 {
		remaining := max(0, e.decoding[0].finishAt-e.progress)
		if !ok || remaining < steps {
			steps, ok = remaining, true
		}
	}
	return steps * e.stepSeconds(), ok
}

const epsilon = 1e-6

// collectFinished moves jobs whose prefill has ended to decoding, returns the
// jobs whose decoding has ended and admits waiting jobs.
func (e *engine) collectFinished() []*job {
	for len(e.prefilling) > 0 && e.prefilling[0].remainingPrefill <= epsilon {
		j := e.prefilling[0]
		e.prefilling = e.prefilling[1:]
		j.finishAt = e.progress + float64(j.call.turn().completion)
		heap.Push(&e.decoding, j)
	}
	var done []*job
	for len(e.decoding) > 0 && e.decoding[0].finishAt <= e.progress+epsilon {
		j := heap.Pop(&e.decoding).(*job)
		e.pinned -= j.pinned
		e.addEntry(j.call.run.plan.id, j.pinned)
		done = append(done, j)
	}
	e.admit()
	return done
}

// admit starts waiting jobs while slots and cache memory are free.
func (e *engine) admit() {
	for len(e.waiting) > 0 && e.running() < engineSlots {
		j := e.waiting[0]
		need := j.call.prompt() + j.call.turn().completion
		if e.pinned > 0 && e.pinned+need > cacheTokens {
			return
		}
		e.waiting = e.waiting[1:]
		cached := min(e.removeEntry(j.call.run.plan.id), j.call.prompt()-1)
		j.uncached, j.pinned, j.started = j.call.prompt()-cached, need, true
		j.remainingPrefill = float64(j.uncached)
		e.pinned += need
		e.evictExcess()
		e.prefilling = append(e.prefilling, j)
	}
}

// removeEntry removes a program's cache entry and returns its tokens.
func (e *engine) removeEntry(program string) int {
	el, ok := e.entries[program]
	if !ok {
		return 0
	}
	entry := el.Value.(cacheEntry)
	e.lru.Remove(el)
	delete(e.entries, program)
	e.cached -= entry.tokens
	return entry.tokens
}

func (e *engine) addEntry(program string, tokens int) {
	e.removeEntry(program)
	e.entries[program] = e.lru.PushBack(cacheEntry{program: program, tokens: tokens})
	e.cached += tokens
	e.evictExcess()
}

// evictExcess evicts the least recently used programs until the cache fits.
func (e *engine) evictExcess() {
	for e.pinned+e.cached > cacheTokens && e.lru.Len() > 0 {
		program := e.lru.Front().Value.(cacheEntry).program
		e.removeEntry(program)
		e.onEvict(program)
	}
}

// fail stops the engine, drops its cache and returns its unfinished jobs.
func (e *engine) fail() []*job {
	jobs := append(append(append([]*job(nil), e.waiting...), e.prefilling...), e.decoding...)
	e.waiting, e.prefilling, e.decoding = nil, nil, nil
	e.entries, e.lru = make(map[string]*list.Element), list.New()
	e.pinned, e.cached, e.failed = 0, 0, true
	return jobs
}

type jobHeap []*job

// Len implements heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h jobHeap) Less(i, j int) bool { return h[i].finishAt < h[j].finishAt }

// Swap implements heap.Interface.
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	*h = (*h)[:last]
	return j
}
