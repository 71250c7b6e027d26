//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

// load sends requests without a pause from some clients to each edge machine until a time,
// and returns when each was sent, by its id.
func (b *bed) load(edges []*machine, clients int, path, key string, until time.Time) map[string]time.Time {
	sent := make(map[string]time.Time)
	counts := make(map[int]int)
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, m := range edges {
		transport := &http.Transport{MaxIdleConnsPerHost: clients}
		defer transport.CloseIdleConnections()
		for range clients {
			running.Go(func() {
				for time.Now().Before(until) {
					id := newID()
					at := time.Now()
					status := once(transport, m, path, key, id)
					mu.Lock()
					sent[id] = at
					counts[status]++
					mu.Unlock()
					if status != http.StatusOK {
						time.Sleep(15 * time.Millisecond)
					}
				}
			})
		}
	}
	running.Wait()
	b.record("answers by status: %v", counts)
	return sent
}

// once sends a request and returns the status of its answer, or 0.
func once(transport *http.Transport, m *machine, path, key, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.callers+path+id, nil)
	if err != nil {
		return 0
	}
	r.Host = "review.example"
	r.Header.Set(names["request_id"], id)
	r.Header.Set(names["deadline"], "2000")
	r.Header.Set(names["key"], key)
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// mostInWindow returns the largest number of requests that were sent and began to run within
// a window.
func (b *bed) mostInWindow(sent map[string]time.Time, window time.Duration) int {
	type span struct{ from, to time.Time }
	var spans []span
	for _, w := range b.workers {
		for _, r := range w.list() {
			if from, ok := sent[r.id]; ok {
				spans = append(spans, span{from, r.at})
			}
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].to.Before(spans[j].to) })
	most := 0
	for _, first := range spans {
		end := first.from.Add(window)
		count := 0
		for _, s := range spans {
			if !s.from.Before(first.from) && !s.to.After(end) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// playQuota lets the storage machine that holds a zone's share of the rates be removed for good
// in a zone where another one runs, and judges whether the tenant stays within its cap.
func playQuota(b *bed, trouble bool) bool {
	const (
		rate, burst  = 20.0, 600.0
		window       = 5.0
		idle         = 45 * time.Second
		removedAfter = 300 * time.Millisecond
		replacedIn   = 2 * time.Second
		sending      = 9 * time.Second
		clients      = 12
	)
	for _, zone := range b.zones {
		b.addWorker("desk", zone, 0, time.Millisecond)
		b.addWorker("desk", zone, 0, time.Millisecond)
	}
	edges, stores := b.startSmall(configWith(`"rate_per_s": 0, "burst": 0},`, fmt.Sprintf(`"rate_per_s": %v, "burst": %v},`, rate, burst)))
	// It starts after the other one, which has taken the role of holder.
	b.addStorage(b.zones[0], true).start()
	time.Sleep(idle)
	start := time.Now()
	var running sync.WaitGroup
	running.Go(func() {
		if !trouble {
			return
		}
		time.Sleep(removedAfter)
		stores[0].signal(syscall.SIGTERM)
		time.Sleep(replacedIn)
		b.addStorage(b.zones[0], false).start()
	})
	sent := b.load(edges, clients, "/look/", "key-a", start.Add(sending))
	running.Wait()
	most := b.mostInWindow(sent, window*time.Second)
	allowed := (rate*window+burst)*1.1 + 20
	b.record("%d requests in some 5 s, allowed are %.0f", most, allowed)
	return float64(most) <= allowed
}
