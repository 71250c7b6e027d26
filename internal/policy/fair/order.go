package fair

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Limits are the bounds of an Order.
type Limits struct {
	// AgeStep is the head start in waiting time that a program loses each
	// time its attained service doubles.
	AgeStep time.Duration
	// FreshWait is the longest expected wait at which a new program is taken.
	FreshWait time.Duration
	// HeldWait is the longest expected wait of a program that has started.
	HeldWait time.Duration
	// MaxWaiting is the number of requests that may wait in all.
	MaxWaiting int
}

// DefaultLimits returns the limits of the process.
func DefaultLimits() Limits {
	return Limits{AgeStep: 5 * time.Second, FreshWait: 20 * time.Second, HeldWait: 2 * time.Minute, MaxWaiting: 20_000}
}

const (
	attainedUnit   = 2048 // tokens
	rateHalfLife   = 10 * time.Second
	minWeight      = 1e-6
	minRate        = 1e-9
	forgottenTeams = 1024
	minBacklog     = 4 // requests that a team may have waiting whatever their cost
)

// Item is a request that waits in an Order.
type Item struct {
	ticket hawthornrail.Ticket
	since  time.Time
	key    float64
	number uint64
	index  int
	team   *team
	lane   *lane
}

// Ticket returns the request's ticket.
func (i *Item) Ticket() hawthornrail.Ticket { return i.ticket }

// Since returns when the request began to wait.
func (i *Item) Since() time.Time { return i.since }

// Order decides which waiting request goes next. Its methods take the time,
// so that a decision depends on nothing else.
type Order struct {
	limits  Limits
	random  *rand.Rand
	teams   map[string]*team
	held    lane
	fresh   lane
	virtual float64
	start   float64
	present float64
	number  uint64
	waiting int
	active  float64
	rate    rateMeter
}

// NewOrder returns an empty order; random spreads the times to come back.
func NewOrder(limits Limits, random *rand.Rand) *Order {
	o := &Order{limits: limits, random: random, teams: make(map[string]*team)}
	o.held.slot, o.fresh.slot = 0, 1
	return o
}

// Waiting returns the number of requests that wait.
func (o *Order) Waiting() int { return o.waiting }

// Add queues a request or refuses it with the time to come back.
func (o *Order) Add(t hawthornrail.Ticket, now time.Time) (item *Item, retryAfter time.Duration, ok bool) {
	m := o.team(t)
	l, limit := &o.held, o.limits.HeldWait
	if t.Fresh() {
		l, limit = &o.fresh, o.limits.FreshWait
	}
	if wait := o.expectedWait(m, now); wait > limit && m.waiting >= minBacklog || o.waiting >= o.limits.MaxWaiting {
		return nil, o.comeBack(wait, limit), false
	}
	o.number++
	item = &Item{ticket: t, since: now, key: o.key(t, now), number: o.number, team: m, lane: l}
	o.arrive(m)
	m.waiting++
	m.backlog += t.Cost()
	o.waiting++
	o.setActive(m)
	l.push(item)
	return item, 0, true
}

// Remove drops a request that waits no longer.
func (o *Order) Remove(item *Item) {
	if item.index < 0 {
		return
	}
	item.lane.remove(item)
	o.left(item)
	o.depart(item.team)
}

// Next takes the request that goes next; without fresh, only requests of
// programs that have started.
func (o *Order) Next(fresh bool) (*Item, bool) {
	item := o.held.top()
	if other := o.fresh.top(); fresh && other != nil && (item == nil || before(other, item)) {
		item = other
	}
	if item == nil {
		return nil, false
	}
	item.lane.remove(item)
	o.left(item)
	item.team.inFlight++
	o.start = o.virtual
	o.charge(item.team, item.ticket.Cost())
	return item, true
}

// Finished corrects the team's service by what the request really used.
func (o *Order) Finished(item *Item, used float64, now time.Time) {
	o.charge(item.team, used-item.ticket.Cost())
	item.team.inFlight--
	o.depart(item.team)
	o.rate.add(used, now)
}

// arrive lets a team that had no request begin at the mean service of those
// that have, as it was before the last one went, unless it has received more.
func (o *Order) arrive(m *team) {
	if m.waiting+m.inFlight > 0 {
		return
	}
	m.counter = max(m.counter, o.start)
	m.present = m.weight
	o.present += m.present
}

func (o *Order) depart(m *team) {
	if m.waiting+m.inFlight == 0 {
		o.present -= m.present
		m.present = 0
	}
}

// before orders by the teams' service, then by priority and age.
func before(a, b *Item) bool {
	if a.team != b.team && a.team.counter != b.team.counter {
		return a.team.counter < b.team.counter
	}
	return earlier(a, b)
}

func earlier(a, b *Item) bool {
	if a.ticket.Priority() != b.ticket.Priority() {
		return a.ticket.Priority() > b.ticket.Priority()
	}
	if a.ticket.Last() != b.ticket.Last() {
		return a.ticket.Last()
	}
	if a.key != b.key {
		return a.key < b.key
	}
	return a.number < b.number
}

// key is a point in time that does not change while a request waits, so that
// every request is served in the end.
func (o *Order) key(t hawthornrail.Ticket, now time.Time) float64 {
	start := now
	if s := t.Started(); !s.IsZero() {
		start = s
	}
	level := math.Log2(1 + t.Attained()/attainedUnit)
	return float64(start.UnixNano())/float64(time.Second) + level*o.limits.AgeStep.Seconds()
}

func (o *Order) left(item *Item) {
	item.team.waiting--
	item.team.backlog -= item.ticket.Cost()
	o.waiting--
	o.setActive(item.team)
}

func (o *Order) charge(m *team, tokens float64) {
	m.counter += tokens / m.weight
	o.virtual += tokens / max(o.present, minWeight)
	o.held.fix(m)
	o.fresh.fix(m)
}

func (o *Order) team(t hawthornrail.Ticket) *team {
	m, ok := o.teams[t.Team()]
	if !ok {
		if len(o.teams) >= forgottenTeams {
			o.forget()
		}
		m = &team{}
		o.teams[t.Team()] = m
	}
	m.weight = max(t.Weight(), minWeight)
	return m
}

// forget drops idle teams whose service is not above that of the others.
func (o *Order) forget() {
	for name, m := range o.teams {
		if m.waiting+m.inFlight == 0 && m.counter <= o.start {
			delete(o.teams, name)
		}
	}
}

// expectedWait is the time that the team's own backlog takes at its share of
// the rate; other teams' backlogs do not lengthen it.
func (o *Order) expectedWait(m *team, now time.Time) time.Duration {
	rate := o.rate.perSecond(now)
	if rate < minRate || m.backlog <= 0 {
		return 0
	}
	share := m.weight / o.activeWeight(m)
	return time.Duration(m.backlog / (rate * share) * float64(time.Second))
}

// activeWeight is the weight of the teams that wait, and of m.
func (o *Order) activeWeight(m *team) float64 {
	return o.active - m.active + m.weight
}

// setActive keeps the sum of the waiting teams' weights.
func (o *Order) setActive(m *team) {
	weight := 0.0
	if m.waiting > 0 {
		weight = m.weight
	}
	o.active += weight - m.active
	m.active = weight
}

// comeBack spreads the callers' return over as long as the wait is too long.
func (o *Order) comeBack(wait, limit time.Duration) time.Duration {
	over := max(wait-limit, limit/4, time.Second)
	return over + time.Duration(o.random.Float64()*float64(over))
}

// rateMeter measures the service given per second over the recent past.
type rateMeter struct {
	sum   float64
	last  time.Time
	first time.Time
}

func (r *rateMeter) add(tokens float64, now time.Time) {
	r.decay(now)
	r.sum += tokens
}

func (r *rateMeter) decay(now time.Time) {
	if r.last.IsZero() {
		r.first, r.last = now, now
	}
	if passed := now.Sub(r.last); passed > 0 {
		r.sum *= math.Exp2(-passed.Seconds() / rateHalfLife.Seconds())
		r.last = now
	}
}

// perSecond returns 0 until a half-life has been seen.
func (r *rateMeter) perSecond(now time.Time) float64 {
	if r.first.IsZero() || now.Sub(r.first) < rateHalfLife {
		return 0
	}
	r.decay(now)
	return r.sum * math.Ln2 / rateHalfLife.Seconds()
}

// team is one team's service and its waiting requests in each lane.
type team struct {
	weight   float64
	counter  float64
	backlog  float64
	waiting  int
	inFlight int
	active   float64
	present  float64
	items    [2]itemHeap
	index    [2]int
}

// lane orders the teams that have a request waiting in it.
type lane struct {
	slot  int
	teams []*team
}

func (l *lane) push(i *Item) {
	items := &i.team.items[l.slot]
	first := len(*items) == 0
	heap.Push(items, i)
	if first {
		heap.Push(l, i.team)
		return
	}
	heap.Fix(l, i.team.index[l.slot])
}

func (l *lane) remove(i *Item) {
	items := &i.team.items[l.slot]
	heap.Remove(items, i.index)
	if len(*items) > 0 {
		heap.Fix(l, i.team.index[l.slot])
		return
	}
	heap.Remove(l, i.team.index[l.slot])
}

func (l *lane) top() *Item {
	if len(l.teams) == 0 {
		return nil
	}
	return l.teams[0].items[l.slot][0]
}

func (l *lane) fix(m *team) {
	if len(m.items[l.slot]) > 0 {
		heap.Fix(l, m.index[l.slot])
	}
}

// Len implements heap.Interface.
func (l *lane) Len() int { return len(l.teams) }

// Less implements heap.Interface.
func (l *lane) Less(i, j int) bool {
	return before(l.teams[i].items[l.slot][0], l.teams[j].items[l.slot][0])
}

// Swap implements heap.Interface.
func (l *lane) Swap(i, j int) {
	l.teams[i], l.teams[j] = l.teams[j], l.teams[i]
	l.teams[i].index[l.slot], l.teams[j].index[l.slot] = i, j
}

// Push implements heap.Interface.
func (l *lane) Push(x any) {
	m := x.(*team)
	m.index[l.slot] = len(l.teams)
	l.teams = append(l.teams, m)
}

// Pop implements heap.Interface.
func (l *lane) Pop() any {
	last := len(l.teams) - 1
	m := l.teams[last]
	l.teams[last] = nil
	l.teams = l.teams[:last]
	return m
}

type itemHeap []*Item

// Len implements heap.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap) Less(i, j int) bool { return earlier(h[i], h[j]) }

// Swap implements heap.Interface.
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	i := x.(*Item)
	i.index = len(*h)
	*h = append(*h, i)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	i := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	i.index = -1
	return i
}
