//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playBudget begins programs, lets a storage machine lose its disk, and judges whether the
// programs' second turns, for which their budgets have room, are denied.
func playBudget(b *bed, trouble bool) bool {
	const programs = 30
	for _, zone := range b.zones {
		b.addWorker("model", zone, 5, 5*time.Millisecond)
	}
	edges, stores := b.startSmall(configWith())
	time.Sleep(4 * time.Second)
	turn := func(n int) answer {
		return b.send(edges[0], call{
			method: "POST", path: fmt.Sprintf("/turn/%d", n), key: "key-a", deadline: 3 * time.Second, body: "x",
			headers: map[string]string{"program": fmt.Sprintf("program-%d", n), "session": "s", "program_deadline": "60000", "budget": "300", "tokens": "100,132"},
		})
	}
	first := b.inParallel(programs, turn)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		stores[0].kill()
		stores[0].loseDisk()
		time.Sleep(2 * time.Second)
		stores[0].first = false
		stores[0].start()
	} else {
		time.Sleep(2 * time.Second)
	}
	// catch_up_s and contact_ms, one after the other.
	time.Sleep(8 * time.Second)
	second := b.inParallel(programs, turn)
	served, denied := 0, 0
	for n := range programs {
		if first[n].status != http.StatusOK {
			cannotRun("first turn of program %d got %d", n, first[n].status)
		}
		switch second[n].status {
		case http.StatusOK:
			served++
		case http.StatusPaymentRequired:
			denied++
		}
	}
	b.record("%d of %d second turns served, %d answered %d, with 30 of 300 tokens spent", served, programs, denied, http.StatusPaymentRequired)
	return float64(denied) <= 5+float64(2*programs)/500
}

// inParallel makes calls at the same time.
func (b *bed) inParallel(count int, turn func(n int) answer) []answer {
	answers := make([]answer, count)
	var running sync.WaitGroup
	for n := range count {
		running.Go(func() { answers[n] = turn(n) })
	}
	running.Wait()
	return answers
}
