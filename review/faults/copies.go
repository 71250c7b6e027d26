//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	turnDeadline = 4 * time.Second
	// retain is how long a turn is kept, by its route.
	retain = 60 * time.Second
)

// turnConfig is a configuration with a route for turns.
func turnConfig(stateful, resumable bool) map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-turns", "host": host, "path_prefix": "/turns/", "type": "streaming", "timeout_ms": 4000, names["objective"]: 200, "priority": 0,
			"service": "engines", "max_attempts": 1, "stateful": stateful, "retain_s": retain.Seconds(), "public": false, "sticky": true, "resumable": resumable, "gap_aim_ms": 400,
		}},
		"services": []any{map[string]any{"name": "engines", "health_path": "/healthz", "max_conns": 560, "engine": map[string]any{"slots": 16, "kv_capacity": 171069, "chunk_tokens": 5}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "team", names["keys"]: []string{apiKey}, "rate_per_s": 0, "burst": 0}},
	}
}

// turn sends a turn of a program that continues from a parent, or begins a chain if that is
// empty.
func (f *fleet) turn(edge int, id, programID, parent, input string) answer {
	headers := []string{"program", programID, "session", programID + "-line", "tokens", "100,30"}
	if parent != "" {
		headers = append(headers, "parent", parent)
	}
	return f.send(edge, "/turns/x", id, input, turnDeadline, headers...)
}

// firstTurns waits until turns are served, and continued.
func (f *fleet) firstTurns() {
	f.await("turns are served", func() bool {
		id := f.nextID("start")
		if !f.turn(0, id, id, "", "input of "+id).whole() {
			return false
		}
		child := f.nextID("start")
		return f.turn(0, child, id, id, "input of "+child).whole()
	})
}

// playCopies: a turn that was answered whole while two store machines are down is on one disk
// only; that disk is lost before the others are back.
func playCopies(r *record, trouble bool) error {
	f := newFleet(r, options{config: turnConfig(true, false), disks: 2, edges: []int{0, 1}, configMS: 3000})
	current = f
	w := f.startWorker("i-engine", 0, 6, 10*time.Millisecond)
	f.startAll()
	f.firstTurns()
	// The list of store machines has to be the same for a while until one says that a turn does
	// not exist.
	time.Sleep(3 * time.Second)
	if trouble {
		f.kill(f.storage[1])
		f.kill(f.storage[2])
		// Other turns are served meanwhile.
		for range 5 {
			id := f.nextID("other")
			f.turn(0, id, id, "", "input of "+id)
			time.Sleep(200 * time.Millisecond)
		}
	}
	parent := f.nextID("turn")
	answered := f.turn(0, parent, "program", "", "input of the first turn")
	completed := time.Now()
	if !answered.whole() {
		// The turn was not acknowledged, so nothing is owed.
		return nil
	}
	if trouble {
		f.kill(f.storage[0])
		check(os.RemoveAll(f.storage[0].folder))
		f.record.printf("the disk of %s is lost", f.storage[0].name)
		time.Sleep(500 * time.Millisecond)
		for _, p := range f.storage {
			f.start(p, false)
		}
	}
	for time.Since(completed) < retain-15*time.Second {
		time.Sleep(time.Second)
		child := f.nextID("child")
		a := f.turn(1, child, "program", parent, "input of the second turn")
		switch {
		case a.status == http.StatusNotFound || a.status == http.StatusGone:
			return fmt.Errorf("%w: LOST: turn %s was answered whole %.1f s ago, is kept for %v, and its next turn is answered %d",
				errBroken, parent, time.Since(completed).Seconds(), retain, a.status)
		case a.whole():
			for _, run := range w.allRuns() {
				if run.id == child && run.body != wantBody(parent) {
					return fmt.Errorf("%w: UNASKED: the worker ran %s with the body %q", errBroken, child, run.body)
				}
			}
			return nil
		}
	}
	return nil
}

// wantBody is the body that a worker has to get for the second turn.
func wantBody(parent string) string {
	text := "input of the first turn"
	for n := 1; n <= 6; n++ {
		text += fmt.Sprintf("event %d of %s\n", n, parent)
	}
	return text + "input of the second turn"
}
