//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	deadlyPath  = "/orders/deadly"
	deadlyDesks = 3
	// contactTime is contact_ms.
	contactTime = 3 * time.Second
	// restartTime is how long a crashed worker is down, and expiryTime how long its
	// entry stays: three ping intervals.
	restartTime = 6 * time.Second
	expiryTime  = 3600 * time.Millisecond
	// comesAgain is the time between two of the deadly requests.
	comesAgain = 2 * time.Second
	deadlyTime = 40 * time.Second
	// maxRetries is how many of them may reach workers later than contactTime after
	// the third crash.
	maxRetries = 3
)

// deadlyCase checks that a request which crashes each worker that runs it is not sent on
// and on, at a service with few workers.
func deadlyCase(s setup) error {
	f, err := newFleet(s.names, s.record, []string{"zone-a"})
	if err != nil {
		return err
	}
	defer f.end()
	config, err := renderConfig(configValues{Rate: 500, Burst: 500, StreamTimeoutMS: 3000})
	if err != nil {
		return err
	}
	f.store.Put("config", "main", config)
	d := &desks{fleet: f, deadly: s.trouble}
	for range deadlyDesks {
		if err := d.start(); err != nil {
			return err
		}
	}
	edges, err := startTwoEdges(f)
	if err != nil {
		return err
	}
	c := newCaller(s.names, s.record)
	for n, end := 0, time.Now().Add(deadlyTime); time.Now().Before(end); n++ {
		a := c.post(edges[n%len(edges)].callers, deadlyPath, nil, strings.NewReader("the same body"), 6*time.Second)
		if a.status == http.StatusServiceUnavailable {
			s.record.add("refused: retry after %v", a.retryAfter)
		}
		time.Sleep(comesAgain)
	}
	return d.judge()
}

// desks are the workers of a service that come back some time after a crash.
type desks struct {
	fleet  *fleet
	deadly bool

	mu      sync.Mutex
	started int
	workers []*worker
	crashes []time.Time
}

func (d *desks) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started++
	w, err := startWorker(fmt.Sprintf("desk-%d", d.started), d.fleet.names, d.fleet.record, 0, 20*time.Millisecond)
	if err != nil {
		return err
	}
	if d.deadly {
		w.crashOn(deadlyPath, func() { d.crashed(w) })
	}
	d.workers = append(d.workers, w)
	d.fleet.store.Put("servers", w.name, w.entry("desk", "zone-a", "ready"))
	return nil
}

func (d *desks) crashed(w *worker) {
	d.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	d.mu.Unlock()
	time.AfterFunc(restartTime, func() {
		if err := d.start(); err != nil {
			d.fleet.record.add("a worker does not start: %v", err)
		}
	})
	time.AfterFunc(expiryTime, func() { d.fleet.store.Remove("servers", w.name) })
}

// judge counts the requests that reached workers after the third crash.
func (d *desks) judge() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	late := 0
	if len(d.crashes) >= maxRetries {
		slices.SortFunc(d.crashes, time.Time.Compare)
		for _, w := range d.workers {
			for _, r := range w.allRuns() {
				if r.at.Sub(d.crashes[2]) > contactTime {
					late++
				}
			}
		}
	}
	d.fleet.record.add("%d crashes; %d requests reached workers later than %v after the third", len(d.crashes), late, contactTime)
	if late > maxRetries {
		return fmt.Errorf("%w: the request reached workers %d times later than %v after it had crashed the third", errBroken, late, contactTime)
	}
	return nil
}
