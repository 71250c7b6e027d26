//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// playTimeout lets a part of the requests at one of seven workers hang, and then at another
// one, and judges whether they are answered within half a second of their route's timeout.
func playTimeout(b *bed, trouble bool) bool {
	const (
		workers      = 7
		hangingShare = 0.45
		hanging      = 6500 * time.Millisecond
		pause        = 6 * time.Millisecond
		routeTimeout = 2 * time.Second
		slack        = 500 * time.Millisecond
		deadline     = 6 * time.Second
	)
	for n := range workers {
		b.addWorker("desk", b.zones[n%len(b.zones)], 0, 300*time.Millisecond)
	}
	edges, _ := b.startSmall(configWith())
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	sent, lasted, unanswered := 0, 0, 0
	var running sync.WaitGroup
	for start := time.Now(); time.Since(start) < 2*hanging; time.Sleep(pause) {
		if trouble {
			b.hangInTurn(time.Since(start) < hanging, hangingShare)
		}
		n := sent
		sent++
		running.Go(func() {
			a := b.send(edges[n%len(edges)], call{method: "POST", path: fmt.Sprintf("/post/%d", n), key: "key-a", deadline: deadline, body: "x"})
			mu.Lock()
			defer mu.Unlock()
			if a.took > routeTimeout {
				lasted++
			}
			if a.took > routeTimeout+slack {
				unanswered++
			}
		})
	}
	running.Wait()
	b.record("%d requests sent, %d lasted longer than their route's timeout, %d of these had no final answer half a second later", sent, lasted, unanswered)
	return unanswered < 8 || 4*unanswered <= lasted
}

// hangInTurn lets a share of the requests hang at the first worker or at the second one.
func (b *bed) hangInTurn(first bool, share float64) {
	hanging, sound := b.workers[0], b.workers[1]
	if !first {
		hanging, sound = sound, hanging
	}
	hanging.setHanging(share)
	sound.setHanging(0)
}
