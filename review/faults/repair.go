//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// turnBytes is the input of a turn.
	turnBytes = 31_000
	// fillPerSecond and fillTime give the turns that are kept when the disks are lost.
	fillPerSecond = 150
	fillTime      = 20 * time.Second
	// catchUp is the bound catch_up_s of the deployment, and downTime how long a machine is
	// down when its disk is lost.
	catchUp  = 6 * time.Second
	downTime = time.Second
)

// playRepair: two store machines lose their disks, come back, have their time to catch up,
// and then the third one loses its disk.
func playRepair(r *record, trouble bool) error {
	f := newFleet(r, options{config: turnConfig(true, false), disks: 2, edges: []int{0, 1}, configMS: 3000})
	current = f
	workers := []*worker{
		f.startWorker("i-first", 0, 6, 5*time.Millisecond),
		f.startWorker("i-second", 1, 6, 5*time.Millisecond),
	}
	f.setQuiet(true, workers)
	f.startAll()
	f.firstTurns()
	f.fill()
	f.setQuiet(false, workers)
	parents := make(map[string]time.Time)
	for n := range 5 {
		id := f.nextID("parent")
		if f.turn(n%2, id, id, "", "input of the first turn").whole() {
			parents[id] = time.Now()
		}
	}
	if trouble {
		// All copies are on disk by now.
		time.Sleep(2 * time.Second)
		f.loseDisks(f.storage[0], f.storage[1])
		time.Sleep(catchUp + time.Second)
		f.loseDisks(f.storage[2])
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && len(parents) > 0; time.Sleep(time.Second) {
		for parent, completed := range parents {
			if time.Since(completed) > retain-time.Second {
				delete(parents, parent)
				continue
			}
			child := f.nextID("child")
			a := f.turn(1, child, parent, parent, "input of the second turn")
			switch {
			case a.status == http.StatusNotFound || a.status == http.StatusGone:
				return fmt.Errorf("%w: LOST: turn %s was answered whole %.1f s ago, is kept for %v, and its next turn is answered %d",
					errBroken, parent, time.Since(completed).Seconds(), retain, a.status)
			case a.whole():
				delete(parents, parent)
			}
		}
	}
	return nil
}

// setQuiet sets whether single requests are left out of the record.
func (f *fleet) setQuiet(quiet bool, workers []*worker) {
	f.quietSends = quiet
	for _, w := range workers {
		w.quiet.Store(quiet)
	}
}

// fill sends turns that begin chains, and waits until they are answered.
func (f *fleet) fill() {
	input := strings.Repeat("a", turnBytes)
	var whole atomic.Int64
	var pending sync.WaitGroup
	tick := time.NewTicker(time.Second / fillPerSecond)
	defer tick.Stop()
	for end := time.Now().Add(fillTime); time.Now().Before(end); <-tick.C {
		id := f.nextID("turn")
		pending.Go(func() {
			if f.turn(f.edgeOf(id), id, id, "", input).whole() {
				whole.Add(1)
			}
		})
	}
	pending.Wait()
	f.record.printf("%d turns of %d bytes were answered whole", whole.Load(), turnBytes)
}

// loseDisks kills processes, removes their disks and starts them again.
func (f *fleet) loseDisks(list ...*process) {
	for _, p := range list {
		f.kill(p)
		check(os.RemoveAll(p.folder))
		f.record.printf("the disk of %s is lost", p.name)
	}
	time.Sleep(downTime)
	for _, p := range list {
		f.start(p, false)
	}
}
