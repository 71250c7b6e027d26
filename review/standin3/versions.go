//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playVersions replaces the workers of a service while a new configuration shortens the
// route's timeout, lets an edge machine die, and judges whether streams that are taken up go
// on at the version that began them.
func playVersions(b *bed, trouble bool) bool {
	const (
		streams  = 24
		deadline = 6 * time.Second
		events   = 18
		pause    = 165 * time.Millisecond
		lingered = 1700 * time.Millisecond
	)
	for _, zone := range b.zones {
		b.addVersion("v1", "model", zone, events, pause)
	}
	b.config(configWith())
	var edges []*machine
	for _, zone := range b.zones {
		edges = append(edges, b.addEdge(zone), b.addEdge(zone))
	}
	for _, zone := range b.zones {
		b.addStorage(zone, true)
	}
	b.startAll()
	time.Sleep(8 * time.Second)
	began := time.Now()
	broken := make([]brokenStream, streams)
	var running sync.WaitGroup
	for n := range streams {
		running.Go(func() { broken[n] = b.streamUntilBroken(edges[0], n, deadline) })
	}
	time.Sleep(300 * time.Millisecond)
	for _, zone := range b.zones {
		b.addVersion("v2", "model", zone, events, pause)
	}
	for _, w := range b.workers[:len(b.zones)] {
		b.record("the entry of %s is removed; it goes on serving", w.id)
		b.store.Remove("servers", w.id)
	}
	if trouble {
		b.config(configWith(`"version": 7`, `"version": 8`, `"timeout_ms": 3000`, `"timeout_ms": 500`))
	}
	time.Sleep(lingered)
	edges[0].kill()
	running.Wait()
	others := edges[1:]
	taken := b.inParallel(streams, func(n int) answer {
		return b.send(others[n%len(others)], call{
			method: "POST", path: fmt.Sprintf("/turn/%d", n), key: "key-a", deadline: deadline - time.Since(began), body: "x",
			headers: map[string]string{"tokens": "100,132", "last_event": broken[n].event, "resumes": broken[n].id},
		})
	})
	versions := b.versionsOfRuns()
	mixed, wentOn := 0, 0
	for n := range streams {
		if taken[n].status != http.StatusOK || taken[n].events() == 0 {
			continue
		}
		wentOn++
		if versions[broken[n].id] != versions[taken[n].id] {
			mixed++
		}
	}
	b.record("%d of %d streams went on, %d of them at another version than the one that began them", wentOn, streams, mixed)
	return mixed <= 2
}

// versionsOfRuns returns the version of the worker that ran each request.
func (b *bed) versionsOfRuns() map[string]string {
	versions := make(map[string]string)
	for _, w := range b.workers {
		for _, r := range w.list() {
			versions[r.id] = w.version
		}
	}
	return versions
}

// brokenStream is the id of a stream whose channel broke, and that of its last event.
type brokenStream struct{ id, event string }

// streamUntilBroken reads a stream until its channel breaks.
func (b *bed) streamUntilBroken(m *machine, n int, deadline time.Duration) brokenStream {
	s := brokenStream{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/turn/%d", m.callers, n), strings.NewReader("x"))
	if err != nil {
		cannotRun("request: %v", err)
	}
	r.Host = "review.example"
	r.Header.Set(names["request_id"], s.id)
	r.Header.Set(names["deadline"], strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set(names["key"], "key-a")
	r.Header.Set(names["tokens"], "100,132")
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		cannotRun("stream %d did not begin: %v", n, err)
	}
	defer response.Body.Close()
	next := ""
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
		if value, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			next = value
		}
		if scanner.Text() == "" {
			s.event = next
		}
	}
	b.record("%s broke off after event %s", s.id, s.event)
	return s
}
