package model

import (
	"hash/fnv"
	"math/rand/v2"
	"strconv"
)

// naive is what the plain balancers share: each VM sends at once, except for
// the first-in-first-out queue that all VMs share.
type naive struct {
	choose   func(n *naive, c *call) int
	central  bool
	ready    [][]*call
	inFlight [][]int
	total    []int
	turn     []int
	alive    []bool
	random   *rand.Rand
}

func newNaive(size Size, central bool, choose func(n *naive, c *call) int) *naive {
	n := &naive{choose: choose, central: central, random: rand.New(rand.NewPCG(3, 3))}
	n.ready = make([][]*call, size.vms)
	n.turn = make([]int, size.vms)
	n.total = make([]int, size.engines)
	for range size.vms {
		n.inFlight = append(n.inFlight, make([]int, size.engines))
	}
	for range size.engines {
		n.alive = append(n.alive, true)
	}
	return n
}

func (n *naive) queue(vm int) int {
	if n.central {
		return 0
	}
	return vm
}

func (n *naive) offer(c *call, _ float64) (float64, bool) {
	q := n.queue(c.run.vm)
	n.ready[q] = append(n.ready[q], c)
	return 0, true
}

func (n *naive) next(vm int, _ float64) (*call, int, bool) {
	q := n.queue(vm)
	if len(n.ready[q]) == 0 {
		return nil, 0, false
	}
	c := n.ready[q][0]
	e := n.choose(n, c)
	if e < 0 {
		return nil, 0, false
	}
	n.ready[q] = n.ready[q][1:]
	n.inFlight[c.run.vm][e]++
	n.total[e]++
	return c, e, true
}

func (n *naive) done(j *job, engine int, _ bool, _ float64) {
	n.inFlight[j.call.run.vm][engine]--
	n.total[engine]--
}

func (n *naive) report(int, int, report, float64)  {}
func (n *naive) silent(int, int, float64)          {}
func (n *naive) evicted(int, int, string, float64) {}
func (n *naive) ended(*run) bool                   { return true }
func (n *naive) dropped(engine int)                { n.alive[engine] = false }

func roundRobin(n *naive, c *call) int {
	vm := c.run.vm
	for {
		n.turn[vm] = (n.turn[vm] + 1) % len(n.alive)
		if n.alive[n.turn[vm]] {
			return n.turn[vm]
		}
	}
}

func leastRequests(n *naive, c *call) int {
	return n.least(n.inFlight[c.run.vm])
}

// firstInFirstOut sends to the least used engine that has a free slot.
func firstInFirstOut(n *naive, _ *call) int {
	e := n.least(n.total)
	if n.total[e] >= engineSlots {
		return -1
	}
	return e
}

func (n *naive) least(counts []int) int {
	start, best := n.random.IntN(len(counts)), -1
	for i := range counts {
		e := (start + i) % len(counts)
		if n.alive[e] && (best < 0 || counts[e] < counts[best]) {
			best = e
		}
	}
	return best
}

// consistentHash keeps each program on the engine with the highest hash.
func consistentHash(n *naive, c *call) int {
	best, highest := -1, uint64(0)
	for e, alive := range n.alive {
		h := fnv.New64a()
		_, _ = h.Write([]byte(strconv.Itoa(e) + "/" + c.run.plan.id))
		// The last bytes of an FNV hash spread too little by themselves.
		if v := mix(h.Sum64()); alive && (best < 0 || v > highest) {
			best, highest = e, v
		}
	}
	return best
}

func mix(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}
