//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// replacements is how often each edge machine was replaced before.
	replacements = 3
	// takenUp is the number of streams that requesters take up, and atLeast how many have to
	// be for the rule.
	takenUp = 40
	atLeast = 12
	// streamEvents and eventPause give streams of 3.2 s.
	streamEvents = 8
	eventPause   = 400 * time.Millisecond
	// streamBudget is the time budget of a stream, and tries how often it is taken up.
	streamBudget = 4 * time.Second
	tries        = 2
)

// playStreams: edge machines have been removed for good and others came in their place; then
// one edge is killed, and requesters take their streams up at another one.
func playStreams(r *record, trouble bool) error {
	removed := 0
	if trouble {
		removed = replacements * 3
	}
	zones := []int{0, 1, 2}
	for n := range removed {
		zones = append(zones, n%3)
	}
	f := newFleet(r, options{config: turnConfig(false, true), disks: 1, edges: zones, configMS: 2000})
	current = f
	for n := range 4 {
		w := f.startWorker(fmt.Sprintf("i-engine-%d", n), n%3, streamEvents, eventPause)
		// Two versions of the software serve, at two workers each.
		w.version = fmt.Sprintf("v%d", 1+n%2)
		f.report(w)
	}
	f.startAll()
	for _, p := range f.edges[3:] {
		f.kill(p)
		f.record.printf("%s is gone for good", p.name)
	}
	f.await("streams are served", func() bool {
		return f.send(0, shortPath, f.nextID("start"), "input", streamBudget, "tokens", "100,5").whole() &&
			f.send(1, shortPath, f.nextID("start"), "input", streamBudget, "tokens", "100,5").whole()
	})
	// The versions have been served for longer than a stream lasts.
	time.Sleep(10 * time.Second)
	var again, goesOn, begins atomic.Int64
	var pending sync.WaitGroup
	killed := make(chan struct{})
	for range takenUp {
		pending.Go(func() { f.takeUp(killed, &again, &goesOn) })
	}
	time.Sleep(1500 * time.Millisecond)
	f.kill(f.edges[0])
	close(killed)
	for range takenUp {
		pending.Go(func() {
			if f.send(1, "/turns/x", f.nextID("new"), "input", streamBudget, "tokens", "100,40").status == http.StatusOK {
				begins.Add(1)
			}
		})
	}
	pending.Wait()
	r.printf("%d streams were taken up, %d of them go on; %d of %d new streams begin", again.Load(), goesOn.Load(), begins.Load(), takenUp)
	if again.Load() < atLeast {
		return cannotRun{fmt.Errorf("only %d streams were taken up", again.Load())}
	}
	shareAgain, shareNew := float64(goesOn.Load())/float64(again.Load()), float64(begins.Load())/takenUp
	if shareAgain < shareNew/2 {
		return fmt.Errorf("%w: LOST: %d of %d streams that requesters take up go on, %d of %d new ones begin",
			errBroken, goesOn.Load(), again.Load(), begins.Load(), takenUp)
	}
	return nil
}

// takeUp sends a stream to an edge and, once that is killed, takes it up at another one. It
// counts the streams that are taken up, and those that go on.
func (f *fleet) takeUp(killed <-chan struct{}, again, goesOn *atomic.Int64) {
	// Which edges are told of a stream follows from its id.
	id, sent := fmt.Sprintf("%016x", rand.Uint64()), time.Now()
	first := f.send(0, "/turns/x", id, "input", streamBudget, "tokens", "100,40")
	<-killed
	last := strings.Count(first.body, "data: ")
	if first.whole() || last == 0 {
		return
	}
	again.Add(1)
	for range tries {
		a := f.send(1, "/turns/x", f.nextID("again"), "input", streamBudget-time.Since(sent), "tokens", "100,40",
			"last_event", strconv.Itoa(last), "resumes", id)
		if a.status == http.StatusOK {
			goesOn.Add(1)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}
