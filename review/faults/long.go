//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualPause is the time before an event of a worker, and slowed how many times as long a
	// slow worker takes.
	usualPause = 250 * time.Millisecond
	slowed     = 4
	longEvents = 40
	// longTimeout is the timeout of the route and the time budget of its requests.
	longTimeout = 60 * time.Second
	// maxClosed is how often a machine may close a kept channel without an answer.
	maxClosed = 3
	// longStreams is the number of streams.
	longStreams = 8
)

// playLong: streams of a slow worker last longer than 30 seconds, and end well within the
// time budget.
func playLong(r *record, trouble bool) error {
	config := turnConfig(false, false)
	config["routes"].([]any)[0].(map[string]any)["timeout_ms"] = longTimeout.Milliseconds()
	f := newFleet(r, options{config: config, disks: 1, edges: []int{0}, configMS: 2000})
	current = f
	pause := usualPause
	if trouble {
		pause *= slowed
	}
	w := f.startWorker("i-engine", 0, longEvents, pause)
	f.startAll()
	f.await("short streams are served", func() bool {
		return f.send(0, shortPath, f.nextID("start"), "input", turnDeadline, "tokens", "100,5").whole()
	})
	var closed atomic.Int64
	var pending sync.WaitGroup
	for range longStreams {
		pending.Go(func() {
			k := newKeeper(f, 0)
			defer k.transport.CloseIdleConnections()
			first := f.nextID("short")
			status, _, err := k.turn(shortPath, first, "input", turnDeadline)
			r.printf("answered %s: %d, %v", first, status, err)
			id, sent := f.nextID("stream"), time.Now()
			r.printf("sent %s on the same channel", id)
			status, reused, err := k.turn("/turns/x", id, "input", longTimeout)
			r.printf("answered %s after %.1f s: %d, %v", id, time.Since(sent).Seconds(), status, err)
			if reused && err != nil && time.Since(sent) < longTimeout {
				closed.Add(1)
			}
		})
	}
	pending.Wait()
	r.printf("the worker ran %d streams, %d kept channels were closed without the end of the answer", len(w.allRuns()), closed.Load())
	if closed.Load() > maxClosed {
		return fmt.Errorf("%w: LOST: %d of %d requests from kept channels were passed on to a sound worker and their channels closed without a complete answer, long before their time budget of %v",
			errBroken, closed.Load(), longStreams, longTimeout)
	}
	return nil
}
