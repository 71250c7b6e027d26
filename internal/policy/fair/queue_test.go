package fair_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/fair"
)

type fixedCapacity int

func (c fixedCapacity) Capacity(hawthornrail.EndpointKind, string) (int, bool) { return int(c), true }

func assertAcquire(t *testing.T, q *fair.Queue, team string) func(float64) {
	t.Helper()
	release, err := q.Acquire(context.Background(), ticket(team, 1, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	return release
}

func TestQueueBoundsRequests(t *testing.T) {
	const capacity, requests = 3, 200
	q := fair.NewQueue(fair.DefaultLimits(), fixedCapacity(capacity), clockwork.NewRealClock())
	var wait sync.WaitGroup
	var inFlight, maxInFlight atomic.Int64
	for range requests {
		wait.Go(func() {
			release := assertAcquire(t, q, "a")
			n := inFlight.Add(1)
			for m := maxInFlight.Load(); n > m && !maxInFlight.CompareAndSwap(m, n); m = maxInFlight.Load() {
			}
			inFlight.Add(-1)
			release(1)
		})
	}
	wait.Wait()
	if got := maxInFlight.Load(); got > capacity {
		t.Errorf("%d concurrent requests, want at most %d", got, capacity)
	}
}

func TestCanceledAcquireReleasesCapacity(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := fair.NewQueue(fair.DefaultLimits(), fixedCapacity(1), clock)
	release := assertAcquire(t, q, "a")
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error)
	go func() {
		_, err := q.Acquire(ctx, ticket("a", 1, 0, 1))
		failed <- err
	}()
	if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-failed; hawthornrail.VerdictOf(err) != hawthornrail.VerdictNotRun {
		t.Errorf("got %v, want a refusal that did not run", err)
	}
	release(1)
	done := make(chan struct{})
	go func() {
		assertAcquire(t, q, "a")(1)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("the capacity is not released")
	}
}
