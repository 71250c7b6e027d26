package model

import (
	"hash/fnv"
	"math/rand/v2"
	"strconv"
)

// baseline is the common part of the baseline balancers. Every VM has a queue
// of its own and dispatches at once; with sharedQueue set, all VMs share one
// first-in-first-out queue.
type baseline struct {
	choose         func(b *baseline, c *call) int
	sharedQueue    bool
	queues         [][]*call
	inFlight       [][]int
	engineInFlight []int
	lastEngine     []int
	healthy        []bool
	random         *rand.Rand
}

func newBaseline(size Size, sharedQueue bool, choose func(b *baseline, c *call) int) *baseline {
	b := &baseline{choose: choose, sharedQueue: sharedQueue, random: rand.New(rand.NewPCG(3, 3))}
	b.queues = make([][]*call, size.vms)
	b.lastEngine = make([]int, size.vms)
	b.engineInFlight = make([]int, size.engines)
	for range size.vms {
		b.inFlight = append(b.inFlight, make([]int, size.engines))
	}
	for range size.engines {
		b.healthy = append(b.healthy, true)
	}
	return b
}

func (b *baseline) queueIndex(vm int) int {
	if b.sharedQueue {
		return 0
	}
	return vm
}

func (b *baseline) enqueue(c *call, _ float64) (float64, bool) {
	q := b.queueIndex(c.run.vm)
	b.queues[q] = append(b.queues[q], c)
	return 0, true
}

func (b *baseline) next(vm int, _ float64) (*call, int, bool) {
	q := b.queueIndex(vm)
	if len(b.queues[q]) == 0 {
		return nil, 0, false
	}
	c := b.queues[q][0]
	e := b.choose(b, c)
	if e < 0 {
		return nil, 0, false
	}
	b.queues[q] = b.queues[q][1:]
	b.inFlight[c.run.vm][e]++
	b.engineInFlight[e]++
	return c, e, true
}

func (b *baseline) done(j *job, engine int, _ bool, _ float64) {
	b.inFlight[j.call.run.vm][engine]--
	b.engineInFlight[engine]--
}

func (b *baseline) report(int, int, loadReport, float64) {}
func (b *baseline) unresponsive(int, int, float64)       {}
func (b *baseline) evicted(int, int, string, float64)    {}
func (b *baseline) ended(*run) bool                      { return true }
func (b *baseline) unhealthy(engine int)                 { b.healthy[engine] = false }

func roundRobin(b *baseline, c *call) int {
	vm := c.run.vm
	for {
		b.lastEngine[vm] = (b.lastEngine[vm] + 1) % len(b.healthy)
		if b.healthy[b.lastEngine[vm]] {
			return b.lastEngine[vm]
		}
	}
}

func leastRequests(b *baseline, c *call) int {
	return b.leastLoaded(b.inFlight[c.run.vm])
}

// firstInFirstOut selects the engine with the fewest calls in flight, or -1
// when none has a free slot.
func firstInFirstOut(b *baseline, _ *call) int {
	e := b.leastLoaded(b.engineInFlight)
	if b.engineInFlight[e] >= engineSlots {
		return -1
	}
	return e
}

func (b *baseline) leastLoaded(counts []int) int {
	start, best := b.random.IntN(len(counts)), -1
	for i := range counts {
		e := (start + i) % len(counts)
		if b.healthy[e] && (best < 0 || counts[e] < counts[best]) {
			best = e
		}
	}
	return best
}

// consistentHash sends all calls of a program to the engine with the highest
// hash (rendezvous hashing).
func consistentHash(b *baseline, c *call) int {
	best, highest := -1, uint64(0)
	for e, healthy := range b.healthy {
		h := fnv.New64a()
		_, _ = h.Write([]byte(strconv.Itoa(e) + "/" + c.run.plan.id))
		// FNV alone distributes keys badly that differ only in their last bytes.
		if v := mixHash(h.Sum64()); healthy && (best < 0 || v > highest) {
			best, highest = e, v
		}
	}
	return best
}

func mixHash(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}
