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

func newOrder() *fair.Order {
	return fair.NewOrder(fair.DefaultLimits(), rand.New(rand.NewPCG(1, 1)))
}

func ticket(team string, weight, attained, cost float64) hawthornrail.Ticket {
	return hawthornrail.NewTicket(team, weight, "p", attained, cost)
}

func assertAdd(t rapid.TB, o *fair.Order, k hawthornrail.Ticket, now time.Time) *fair.Item {
	t.Helper()
	item, _, ok := o.Add(k, now)
	if !ok {
		t.Fatalf("request of %s is refused", k.Team())
	}
	return item
}

func assertNext(t rapid.TB, o *fair.Order, want *fair.Item) {
	t.Helper()
	if got, ok := o.Next(true); !ok || got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func TestOrderWithinTeam(t *testing.T) {
	t.Run("short program goes first", func(t *testing.T) {
		o := newOrder()
		long := assertAdd(t, o, ticket("a", 1, 100_000, 1), start)
		short := assertAdd(t, o, ticket("a", 1, 100, 1), start.Add(time.Second))
		assertNext(t, o, short)
		assertNext(t, o, long)
	})
	t.Run("long program is served in the end", func(t *testing.T) {
		o := newOrder()
		long := assertAdd(t, o, ticket("a", 1, 100_000, 1), start)
		assertAdd(t, o, ticket("a", 1, 0, 1), start.Add(time.Minute))
		assertNext(t, o, long)
	})
	t.Run("program keeps its place over a pause", func(t *testing.T) {
		o := newOrder()
		assertAdd(t, o, ticket("a", 1, 0, 1).WithStarted(start.Add(time.Second)), start.Add(time.Second))
		back := assertAdd(t, o, ticket("a", 1, 0, 1).WithStarted(start), start.Add(2*time.Second))
		assertNext(t, o, back)
	})
	t.Run("last call goes first", func(t *testing.T) {
		o := newOrder()
		assertAdd(t, o, ticket("a", 1, 0, 1), start)
		last := assertAdd(t, o, ticket("a", 1, 100_000, 1).WithLast(true), start)
		assertNext(t, o, last)
	})
	t.Run("new program waits while memory is full", func(t *testing.T) {
		o := newOrder()
		assertAdd(t, o, ticket("a", 1, 0, 1).WithFresh(true), start)
		if item, ok := o.Next(false); ok {
			t.Errorf("got %+v, want none", item)
		}
	})
}

// naiveOrder decides by going through all that wait.
type naiveOrder struct {
	counters map[string]float64
	virtual  float64
	start    float64
	waiting  []*fair.Item
}

func (n *naiveOrder) add(item *fair.Item) {
	team := item.Ticket().Team()
	for _, other := range n.waiting {
		if other.Ticket().Team() == team {
			n.waiting = append(n.waiting, item)
			return
		}
	}
	n.counters[team] = max(n.counters[team], n.start)
	n.waiting = append(n.waiting, item)
}

func (n *naiveOrder) next(fresh bool) *fair.Item {
	best := -1
	for i, item := range n.waiting {
		if (fresh || !item.Ticket().Fresh()) && (best < 0 || n.less(item, n.waiting[best])) {
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
	n.start = n.virtual
	n.virtual += item.Ticket().Cost() / sum
	n.counters[item.Ticket().Team()] += item.Ticket().Cost() / item.Ticket().Weight()
	return item
}

func (n *naiveOrder) less(a, b *fair.Item) bool {
	x, y := n.counters[a.Ticket().Team()], n.counters[b.Ticket().Team()]
	if x != y {
		return x < y
	}
	return place(a) < place(b)
}

func place(item *fair.Item) float64 {
	step := fair.DefaultLimits().AgeStep.Seconds()
	return item.Since().Sub(start).Seconds() + step*math.Log2(1+item.Ticket().Attained()/2048)
}

// Fair shares: the order is the one that a search through all waiting
// requests gives.
func TestOrderIsTheNaiveOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := fair.DefaultLimits()
		limits.FreshWait, limits.HeldWait = time.Hour, time.Hour
		o := fair.NewOrder(limits, rand.New(rand.NewPCG(1, 1)))
		naive, now := &naiveOrder{counters: make(map[string]float64)}, start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond + 137*time.Nanosecond)
			if rapid.Bool().Draw(t, "add") {
				team := rapid.IntRange(0, 4).Draw(t, "team")
				// Weights differ by odd parts, so that counters do not tie.
				k := ticket(fmt.Sprint(team), 1+float64(team)*math.Sqrt2, float64(rapid.IntRange(0, 200_000).Draw(t, "attained")), 1000+float64(rapid.IntRange(0, 5000).Draw(t, "cost"))/7)
				naive.add(assertAdd(t, o, k.WithFresh(rapid.Bool().Draw(t, "fresh")), now))
				continue
			}
			fresh := rapid.Bool().Draw(t, "allow fresh")
			want := naive.next(fresh)
			got, ok := o.Next(fresh)
			if ok {
				o.Finished(got, got.Ticket().Cost(), now)
			}
			if got != want && (got == nil || want == nil || naive.less(want, got) != naive.less(got, want)) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
	})
}

// Fair shares: while all teams wait, each gets service by its weight, however
// many requests each has waiting.
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

// Refusals within rate: a team with nothing waiting is never refused for the
// backlog of others, and callers are not told to come back together.
func TestOverloadOfOneTeam(t *testing.T) {
	o, now := newOrder(), start
	var refusals []time.Duration
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		if _, retryAfter, ok := o.Add(ticket("greedy", 1, 0, 1000).WithFresh(true), now); !ok {
			refusals = append(refusals, retryAfter)
		}
		// A tenth of what arrives is served.
		if rand.IntN(10) == 0 {
			if item, ok := o.Next(true); ok {
				o.Finished(item, 1000, now)
			}
		}
	}
	t.Run("greedy team is refused", func(t *testing.T) {
		if len(refusals) == 0 {
			t.Error("none is refused")
		}
	})
	t.Run("times to come back are spread", func(t *testing.T) {
		least, most := refusals[0], refusals[0]
		for _, r := range refusals {
			least, most = min(least, r), max(most, r)
		}
		if least <= 0 || most < least*3/2 {
			t.Errorf("got %s to %s", least, most)
		}
	})
	t.Run("other team is not", func(t *testing.T) {
		modest := assertAdd(t, o, ticket("modest", 0.01, 0, 1000).WithFresh(true), now)
		assertNext(t, o, modest)
	})
}
