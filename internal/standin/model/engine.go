package model

import (
	"container/heap"
	"container/list"
)

// job is a call at an engine.
type job struct {
	call     *call
	vm       int
	uncached int
	prefill  float64 // tokens left
	finishAt float64 // decode progress at which the job ends
	pinned   int     // tokens
	sent     float64 // seconds
	started  bool
}

// engine batches jobs continuously: every step decodes one token of each
// running job and prefills a chunk of one prompt.
type engine struct {
	index      int
	now        float64
	waiting    []*job
	prefilling []*job
	decoding   jobHeap
	progress   float64 // tokens decoded per sequence since the start
	pinned     int     // tokens
	cached     int     // tokens of programs that do not run
	entries    map[string]*list.Element
	lru        *list.List
	generation int
	lost       bool
	evicted    func(program string)
}

type cacheEntry struct {
	program string
	tokens  int
}

func newEngine(index int, evicted func(program string)) *engine {
	return &engine{index: index, entries: make(map[string]*list.Element), lru: list.New(), evicted: evicted}
}

func (e *engine) running() int { return len(e.prefilling) + len(e.decoding) }

func (e *engine) step() float64 {
	step := stepBase + stepPerSequence*float64(len(e.decoding))
	if len(e.prefilling) > 0 {
		step += prefillChunk / prefillPerSecond
	}
	return step
}

// advance moves the engine's state to a time before its next event.
func (e *engine) advance(now float64) {
	if passed := now - e.now; passed > 0 && e.running() > 0 {
		steps := passed / e.step()
		e.progress += steps
		if len(e.prefilling) > 0 {
			e.prefilling[0].prefill -= steps * prefillChunk
		}
	}
	e.now = now
}

// next returns the time until a job's prefill or decoding ends.
func (e *engine) next() (float64, bool) {
	steps, ok := 0.0, false
	if len(e.prefilling) > 0 {
		steps, ok = max(0, e.prefilling[0].prefill/prefillChunk), true
	}
	if len(e.decoding) > 0 {
		left := max(0, e.decoding[0].finishAt-e.progress)
		if !ok || left < steps {
			steps, ok = left, true
		}
	}
	return steps * e.step(), ok
}

const epsilon = 1e-6

// settle moves jobs on whose prefill or decoding has ended and returns the
// finished ones.
func (e *engine) settle() []*job {
	for len(e.prefilling) > 0 && e.prefilling[0].prefill <= epsilon {
		j := e.prefilling[0]
		e.prefilling = e.prefilling[1:]
		j.finishAt = e.progress + float64(j.call.turn().completion)
		heap.Push(&e.decoding, j)
	}
	var done []*job
	for len(e.decoding) > 0 && e.decoding[0].finishAt <= e.progress+epsilon {
		j := heap.Pop(&e.decoding).(*job)
		e.pinned -= j.pinned
		e.insert(j.call.run.plan.id, j.pinned)
		done = append(done, j)
	}
	e.admit()
	return done
}

// admit starts waiting jobs while there are slots and memory.
func (e *engine) admit() {
	for len(e.waiting) > 0 && e.running() < engineSlots {
		j := e.waiting[0]
		need := j.call.prompt() + j.call.turn().completion
		if e.pinned > 0 && e.pinned+need > cacheTokens {
			return
		}
		e.waiting = e.waiting[1:]
		cached := min(e.take(j.call.run.plan.id), j.call.prompt()-1)
		j.uncached, j.pinned, j.started = j.call.prompt()-cached, need, true
		j.prefill = float64(j.uncached)
		e.pinned += need
		e.trim()
		e.prefilling = append(e.prefilling, j)
	}
}

// take removes a program's entry, since a running job holds its tokens.
func (e *engine) take(program string) int {
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

func (e *engine) insert(program string, tokens int) {
	e.take(program)
	e.entries[program] = e.lru.PushBack(cacheEntry{program: program, tokens: tokens})
	e.cached += tokens
	e.trim()
}

// trim evicts the least recently used programs until all fits.
func (e *engine) trim() {
	for e.pinned+e.cached > cacheTokens && e.lru.Len() > 0 {
		program := e.lru.Front().Value.(cacheEntry).program
		e.take(program)
		e.evicted(program)
	}
}

// lose drops all jobs and the cache and returns the jobs.
func (e *engine) lose() []*job {
	jobs := append(append(append([]*job(nil), e.waiting...), e.prefilling...), e.decoding...)
	e.waiting, e.prefilling, e.decoding = nil, nil, nil
	e.entries, e.lru = make(map[string]*list.Element), list.New()
	e.pinned, e.cached, e.lost = 0, 0, true
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
