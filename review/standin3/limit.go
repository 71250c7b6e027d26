//go:build review

package main

import (
	"time"
)

// playLimit adds edge machines while the platform's store is down, and judges whether a
// worker that names its limit gets more requests than that allows.
func playLimit(b *bed, trouble bool) bool {
	const (
		limit       = 60.0
		outage      = 4500 * time.Millisecond
		contact     = 3 * time.Second
		window      = 4 * time.Second
		acquainted  = 500 * time.Millisecond
		addedEdges  = 3
		edgeClients = 6
	)
	w := b.addWorker("desk", "z-a", 0, time.Millisecond)
	w.limit = "60"
	edges, _ := b.startSmall(configWith())
	_ = b.load(edges, edgeClients, "/look/", "key-a", time.Now().Add(contact+time.Second))
	if trouble {
		b.setStoreDown(true)
	}
	began := time.Now()
	for n := range addedEdges {
		m := b.addEdge(b.zones[n])
		edges = append(edges, m)
		m.start()
	}
	for _, m := range edges[len(edges)-addedEdges:] {
		b.awaitReady(m)
	}
	time.AfterFunc(outage-time.Since(began), func() { b.setStoreDown(false) })
	_ = b.load(edges, 1, "/look/", "key-a", time.Now().Add(acquainted/2))
	known := time.Now().Add(acquainted)
	sent := b.load(edges, edgeClients, "/look/", "key-a", time.Now().Add(8*time.Second))
	for id, at := range sent {
		if at.Before(known) {
			delete(sent, id)
		}
	}
	most := b.mostInWindow(sent, window)
	allowed := 1.5*window.Seconds()*limit + 5
	b.record("%d requests in some 4 s at the worker, allowed are %.0f", most, allowed)
	return float64(most) <= allowed
}
