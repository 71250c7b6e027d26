package fair

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// recheckInterval is how often a waiting request checks the capacity, which load
// reports can raise without a request of this VM ending.
const recheckInterval = 200 * time.Millisecond

// Queue delays requests while the endpoints have no free capacity and dispatches
// them as decided by a Scheduler. It implements hawthornrail.Queue.
type Queue struct {
	limits   Limits
	capacity hawthornrail.Capacity
	clock    hawthornrail.Clock

	mu      sync.Mutex
	targets map[target]*targetQueue
}

// target identifies a model or service. Each has its own queue and lock.
type target struct {
	kind hawthornrail.EndpointKind
	name string
}

type targetQueue struct {
	mu        sync.Mutex
	scheduler *Scheduler
	inFlight  int
	granted   map[*Waiter]chan struct{}
}

// NewQueue returns an empty queue for a capacity.
func NewQueue(limits Limits, capacity hawthornrail.Capacity, clock hawthornrail.Clock) *Queue {
	return &Queue{limits: limits, capacity: capacity, clock: clock, targets: make(map[target]*targetQueue)}
}

func (q *Queue) queueFor(k target) *targetQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	t, ok := q.targets[k]
	if !ok {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		t = &targetQueue{scheduler: NewScheduler(q.limits, random), granted: make(map[*Waiter]chan struct{})}
		q.targets[k] = t
	}
	return t
}

// Acquire waits until the request is dispatched. The caller reports the tokens
// used through the returned function.
func (q *Queue) Acquire(ctx context.Context, ticket hawthornrail.Ticket) (func(float64), error) {
	k := target{ticket.Kind(), ticket.Target()}
	t := q.queueFor(k)
	waiter, granted, err := q.add(t, ticket)
	if err != nil {
		return nil, err
	}
	for {
		q.dispatch(t, k)
		select {
		case <-granted:
			return func(used float64) { q.release(t, k, waiter, used) }, nil
		case <-ctx.Done():
			q.withdraw(t, k, waiter, granted)
			return nil, hawthornrail.NotRun(hawthornrail.CodeOverload, "wait for capacity: %w", ctx.Err())
		case <-q.clock.After(recheckInterval):
		}
	}
}

func (q *Queue) add(t *targetQueue, ticket hawthornrail.Ticket) (*Waiter, chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiter, retryAfter, ok := t.scheduler.Add(ticket, q.clock.Now())
	if !ok {
		f := hawthornrail.NotRun(hawthornrail.CodeOverload, "the team's requests for %s wait too long", ticket.Target())
		return nil, nil, f.WithRetryAfter(retryAfter)
	}
	granted := make(chan struct{})
	t.granted[waiter] = granted
	return waiter, granted, nil
}

// dispatch grants waiting requests as far as the capacity allows.
func (q *Queue) dispatch(t *targetQueue, k target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.scheduler.Waiting() > 0 {
		requests, fresh := q.capacity.Capacity(k.kind, k.name)
		if t.inFlight >= requests {
			return
		}
		waiter, ok := t.scheduler.Next(fresh)
		if !ok {
			return
		}
		t.inFlight++
		close(t.granted[waiter])
		delete(t.granted, waiter)
	}
}

func (q *Queue) release(t *targetQueue, k target, waiter *Waiter, used float64) {
	t.mu.Lock()
	t.inFlight--
	t.scheduler.Complete(waiter, used, q.clock.Now())
	t.mu.Unlock()
	q.dispatch(t, k)
}

// withdraw removes a request whose context ended, or releases it if it was
// granted concurrently.
func (q *Queue) withdraw(t *targetQueue, k target, waiter *Waiter, granted <-chan struct{}) {
	t.mu.Lock()
	select {
	case <-granted:
		t.mu.Unlock()
		q.release(t, k, waiter, 0)
	default:
		t.scheduler.Remove(waiter)
		delete(t.granted, waiter)
		t.mu.Unlock()
	}
}
