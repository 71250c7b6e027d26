package fair_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/fair"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func newOrder() *fair.Scheduler {
	return fair.NewScheduler(fair.DefaultLimits(), rand.New(rand.NewPCG(1, 1)))
}

func ticket(team string, weight, attained, cost float64) hawthornrail.Ticket {
	return hawthornrail.NewTicket(team, weight, "p", attained, cost)
}

func assertAdd(t rapid.TB, o *fair.Scheduler, k hawthornrail.Ticket, now time.Time) *fair.Waiter {
	t.Helper()
	item, _, ok := o.Add(k, now)
	if !ok {
		t.Fatalf("request of %s is refused", k.Team())
	}
	return item
}

func assertNext(t rapid.TB, o *fair.Scheduler, want *fair.Waiter) {
	t.Helper()
	if got, ok := o.Next(true); !ok || got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func TestOrderWithinTeam(t *testing.T) {
	t.Run("program with less attained service is first", func(t *testing.T) {
		o := newOrder()
		long := assertAdd(t, o, ticket("a", 1, 100_000, 1), start)
		short := assertAdd(t, o, ticket("a", 1, 100, 1), start.Add(time.Second))
		assertNext(t, o, short)
		assertNext(t, o, long)
	})
	t.Run("long program is not starved", func(t *testing.T) {
		o := newOrder()
		long := assertAdd(t, o, ticket("a", 1, 100_000, 1), start)
		assertAdd(t, o, ticket("a", 1, 0, 1), start.Add(time.Minute))
		assertNext(t, o, long)
	})
	t.Run("program keeps its rank after a pause", func(t *testing.T) {
		o := newOrder()
		assertAdd(t, o, ticket("a", 1, 0, 1).WithProgramStart(start.Add(time.Second)), start.Add(time.Second))
		resumed := assertAdd(t, o, ticket("a", 1, 0, 1).WithProgramStart(start), start.Add(2*time.Second))
		assertNext(t, o, resumed)
	})
	t.Run("last call of a program is first", func(t *testing.T) {
		o := newOrder()
		assertAdd(t, o, ticket("a", 1, 0, 1), start)
		last := assertAdd(t, o, ticket("a", 1, 100_000, 1).WithLastOfProgram(true), start)
		assertNext(t, o, last)
	})
	t.Run("new program waits while memory is full", func(t *testing.T) {
		o := newOrder()
		assertAdd(t, o, ticket("a", 1, 0, 1).WithNewProgram(true), start)
		if item, ok := o.Next(false); ok {
			t.Errorf("got %+v, want none", item)
		}
	})
}

// linearOrder is a reference implementation that searches all waiting requests.
type linearOrder struct {
	services    map[string]float64
	virtualTime float64
	startTime   float64
	waiting     []*fair.Waiter
}

func (n *linearOrder) add(item *fair.Waiter) {
	team := item.Ticket().Team()
	for _, other := range n.waiting {
		if other.Ticket().Team() == team {
			n.waiting = append(n.waiting, item)
			return
		}
	}
	n.services[team] = max(n.services[team], n.startTime)
	n.waiting = append(n.waiting, item)
}

func (n *linearOrder) next(fresh bool) *fair.Waiter {
	best := -1
	for i, item := range n.waiting {
		if (fresh || !item.Ticket().NewProgram()) && (best < 0 || n.less(item, n.waiting[best])) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	item := n.waiting[best]
	n.waiting = append(n.waiting[:best:best], n.waiting[best+1:]...)
	weights := map[string]float64{item.Ticket().Team(): item.Ticket().Weight()}
	for _, other := range n.waiting {
		weights[other.Ticket().Team()] = other.Ticket().Weight()
	}
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	n.startTime = n.virtualTime
	n.virtualTime += item.Ticket().Cost() / sum
	n.services[item.Ticket().Team()] += item.Ticket().Cost() / item.Ticket().Weight()
	return item
}

func (n *linearOrder) less(a, b *fair.Waiter) bool {
	x, y := n.services[a.Ticket().Team()], n.services[b.Ticket().Team()]
	if x != y {
		return x < y
	}
	return rank(a) < rank(b)
}

func rank(item *fair.Waiter) float64 {
	step := fair.DefaultLimits().AgeStep.Seconds()
	return item.Since().Sub(start).Seconds() + step*math.Log2(1+item.Ticket().Attained()/2048)
}

// Guards against errors in the incremental data structures: the order must equal
// that of a linear search through all waiting requests.
func TestOrderMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := fair.DefaultLimits()
		limits.MaxNewWait, limits.MaxStartedWait = time.Hour, time.Hour
		o := fair.NewScheduler(limits, rand.New(rand.NewPCG(1, 1)))
		reference, now := &linearOrder{services: make(map[string]float64)}, start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond + 137*time.Nanosecond)
			if rapid.Bool().Draw(t, "add") {
				team := rapid.IntRange(0, 4).Draw(t, "team")
				// Irrational weights avoid ties between the teams' services.
				k := ticket(fmt.Sprint(team), 1+float64(team)*math.Sqrt2, float64(rapid.IntRange(0, 200_000).Draw(t, "attained")), 1000+float64(rapid.IntRange(0, 5000).Draw(t, "cost"))/7)
				reference.add(assertAdd(t, o, k.WithNewProgram(rapid.Bool().Draw(t, "fresh")), now))
				continue
			}
			fresh := rapid.Bool().Draw(t, "allow fresh")
			want := reference.next(fresh)
			got, ok := o.Next(fresh)
			if ok {
				o.Complete(got, got.Ticket().Cost(), now)
			}
			if got != want && (got == nil || want == nil || reference.less(want, got) != reference.less(got, want)) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
	})
}

// Guards against unfair shares: while all teams have requests waiting, each is
// served in proportion to its weight.
func TestServiceFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rounds, cost = 400, 10.0
		o := newOrder()
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 8), 2, 8).Draw(t, "weights")
		served, sum := make(map[string]float64), 0.0
		for i, weight := range weights {
			sum += weight
			for range rounds {
				assertAdd(t, o, ticket(fmt.Sprint(i), weight, 0, cost), start)
			}
		}
		for range rounds {
			item, _ := o.Next(true)
			served[item.Ticket().Team()]++
		}
		for i, weight := range weights {
			if got, want := served[fmt.Sprint(i)], rounds*weight/sum; math.Abs(got-want) > 2+float64(len(weights)) {
				t.Fatalf("team %d with weight %.2f got %.0f requests, want %.1f", i, weight, got, want)
			}
		}
	})
}

// Guards against refusing a team without waiting requests because of another
// team's backlog, and against refused callers that all retry at the same time.
func TestOverloadRefusesOnlyItsTeam(t *testing.T) {
	o, now := newOrder(), start
	var refusals []time.Duration
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		if _, retryAfter, ok := o.Add(ticket("greedy", 1, 0, 1000).WithNewProgram(true), now); !ok {
			refusals = append(refusals, retryAfter)
		}
		// On average, one request is served for 10 that arrive.
		if rand.IntN(10) == 0 {
			if item, ok := o.Next(true); ok {
				o.Complete(item, 1000, now)
			}
		}
	}
	t.Run("overloading team is refused", func(t *testing.T) {
		if len(refusals) == 0 {
			t.Error("no request is refused")
		}
	})
	t.Run("retry delays are spread", func(t *testing.T) {
		shortest, longest := refusals[0], refusals[0]
		for _, r := range refusals {
			shortest, longest = min(shortest, r), max(longest, r)
		}
		if shortest <= 0 || longest < shortest*3/2 {
			t.Errorf("got %s to %s", shortest, longest)
		}
	})
	t.Run("other team is not refused", func(t *testing.T) {
		modest := assertAdd(t, o, ticket("modest", 0.01, 0, 1000).WithNewProgram(true), now)
		assertNext(t, o, modest)
	})
}
