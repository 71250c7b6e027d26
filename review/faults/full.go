//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// turnsPerSecond is the usual rate of turns, and burst how many times as many come in a
	// burst.
	turnsPerSecond = 56
	burst          = 2.1
	// keepers is the number of requesters, each with a channel that it keeps.
	keepers = 40
	// maxClosed is how often a machine may close a kept channel without an answer.
	maxClosed = 3
)

// phase is a span of the traffic.
type phase struct {
	length time.Duration
	burst  bool
}

var phases = []phase{{length: 50 * time.Second}, {6 * time.Second, true}, {length: 4 * time.Second}, {6 * time.Second, true}, {length: 2 * time.Second}}

// counts are what became of turns.
type counts struct {
	whole, refused, closed atomic.Int64
}

// playFull: bursts bring more turns than the store machines have room for.
func playFull(r *record, trouble bool) error {
	f := newFleet(r, options{config: turnConfig(true, false), disks: 2, edges: []int{0, 1}, configMS: 3000})
	current = f
	workers := []*worker{
		f.startWorker("i-first", 0, 6, 5*time.Millisecond),
		f.startWorker("i-second", 1, 6, 5*time.Millisecond),
	}
	f.setQuiet(true, workers)
	f.startAll()
	f.firstTurns()
	var c counts
	for _, p := range phases {
		rate := float64(turnsPerSecond)
		if p.burst && trouble {
			rate *= burst
		}
		r.printf("%.0f turns a second for %v", rate, p.length)
		f.sendFor(p.length, rate, &c)
	}
	ran := 0
	for _, w := range workers {
		ran += len(w.allRuns())
	}
	r.printf("%d turns were answered whole, %d refused, %d kept channels closed without the end of the answer; workers ran %d", c.whole.Load(), c.refused.Load(), c.closed.Load(), ran)
	if c.closed.Load() > maxClosed {
		return fmt.Errorf("%w: LOST: %d requests from kept channels were passed on to sound workers and their channels closed without a complete answer, after %d whole ones of %d bytes",
			errBroken, c.closed.Load(), c.whole.Load(), turnBytes)
	}
	return nil
}

// sendFor sends turns at a rate, over the channels that the requesters keep.
func (f *fleet) sendFor(length time.Duration, rate float64, c *counts) {
	input := strings.Repeat("a", turnBytes)
	end := time.Now().Add(length)
	var pending sync.WaitGroup
	for len(f.keepers) < keepers {
		f.keepers = append(f.keepers, newKeeper(f, len(f.keepers)%len(f.edges)))
	}
	for _, k := range f.keepers {
		pending.Go(func() {
			tick := time.NewTicker(time.Duration(keepers / rate * float64(time.Second)))
			defer tick.Stop()
			for ; time.Now().Before(end) && c.closed.Load() < 2*keepers; <-tick.C {
				c.add(f.record, k, f.nextID("turn"), input)
			}
		})
	}
	pending.Wait()
}

// add sends a turn and counts what becomes of it.
func (c *counts) add(r *record, k *keeper, id, input string) {
	status, reused, err := k.turn("/turns/x", id, input, turnDeadline)
	switch {
	case status == http.StatusOK && err == nil:
		c.whole.Add(1)
	case status == http.StatusOK && reused:
		c.closed.Add(1)
		r.printf("%s: a kept channel ends without the end of the answer: %v", id, err)
	case status != http.StatusOK:
		c.refused.Add(1)
	}
}
