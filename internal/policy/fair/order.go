package fair

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Limits are the bounds of a Scheduler.
type Limits struct {
	// AgeStep is the waiting time by which a program falls behind in its team
	// each time its attained service doubles.
	AgeStep time.Duration
	// MaxNewWait is the expected wait above which requests of new programs are
	// refused.
	MaxNewWait time.Duration
	// MaxStartedWait is the expected wait above which requests of started
	// programs are refused.
	MaxStartedWait time.Duration
	// MaxWaiting is the maximum number of waiting requests of all teams.
	MaxWaiting int
}

// DefaultLimits returns the limits of the process.
func DefaultLimits() Limits {
	return Limits{AgeStep: 5 * time.Second, MaxNewWait: 20 * time.Second, MaxStartedWait: 2 * time.Minute, MaxWaiting: 20_000}
}

const (
	attainedUnit         = 2048 // tokens
	rateHalfLife         = 10 * time.Second
	minWeight            = 1e-6
	minRate              = 1e-9
	teamCleanupThreshold = 1024 // number of teams from which idle ones are removed
	// minWaiting is the number of requests that a team may have waiting
	// regardless of their cost.
	minWaiting = 4
)

// Waiter is a request that waits in a Scheduler.
type Waiter struct {
	ticket hawthornrail.Ticket
	since  time.Time
	rank   float64
	seq    uint64
	index  int
	team   *team
	class  *requestClass
}

// Ticket returns the request's ticket.
func (w *Waiter) Ticket() hawthornrail.Ticket { return w.ticket }

// Since returns when the request began to wait.
func (w *Waiter) Since() time.Time { return w.since }

// Scheduler decides which waiting request is dispatched next, by weighted fair
// queueing across teams. Its methods take the current time as an argument, so
// that decisions are deterministic.
type Scheduler struct {
	limits Limits
	random *rand.Rand
	teams  map[string]*team
	// started and fresh hold the requests of programs that have and have not
	// run yet.
	started requestClass
	fresh   requestClass
	// virtualTime is the mean service of the present teams, and startTime its
	// value before the last dispatch.
	virtualTime float64
	startTime   float64
	// presentWeight is the sum of the weights of the teams that have requests
	// waiting or in flight.
	presentWeight float64
	seq           uint64
	waiting       int
	// waitingWeight is the sum of the weights of the teams that have requests
	// waiting.
	waitingWeight float64
	rate          rateMeter
}

// NewScheduler returns an empty order; random adds jitter to retry delays.
func NewScheduler(limits Limits, random *rand.Rand) *Scheduler {
	o := &Scheduler{limits: limits, random: random, teams: make(map[string]*team)}
	o.started.id, o.fresh.id = 0, 1
	return o
}

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int { return s.waiting }

// Add queues a request or refuses it with the time to retry after.
func (s *Scheduler) Add(t hawthornrail.Ticket, now time.Time) (item *Waiter, retryAfter time.Duration, ok bool) {
	tm := s.team(t)
	class, limit := &s.started, s.limits.MaxStartedWait
	if t.NewProgram() {
		class, limit = &s.fresh, s.limits.MaxNewWait
	}
	if wait := s.expectedWait(tm, now); wait > limit && tm.waiting >= minWaiting || s.waiting >= s.limits.MaxWaiting {
		return nil, s.retryAfter(wait, limit), false
	}
	s.seq++
	item = &Waiter{ticket: t, since: now, rank: s.rank(t, now), seq: s.seq, team: tm, class: class}
	s.activate(tm)
	tm.waiting++
	tm.backlog += t.Cost()
	s.waiting++
	s.updateWaitingWeight(tm)
	class.push(item)
	return item, 0, true
}

// Remove removes a waiting request.
func (s *Scheduler) Remove(item *Waiter) {
	if item.index < 0 {
		return
	}
	item.class.remove(item)
	s.dequeued(item)
	s.deactivate(item.team)
}

// Next removes and returns the request to dispatch next. Unless fresh is set, it
// considers only requests of started programs.
func (s *Scheduler) Next(fresh bool) (*Waiter, bool) {
	item := s.started.top()
	if candidate := s.fresh.top(); fresh && candidate != nil && (item == nil || servedBefore(candidate, item)) {
		item = candidate
	}
	if item == nil {
		return nil, false
	}
	item.class.remove(item)
	s.dequeued(item)
	item.team.inFlight++
	s.startTime = s.virtualTime
	s.charge(item.team, item.ticket.Cost())
	return item, true
}

// Complete corrects the team's service by the tokens that the request used.
func (s *Scheduler) Complete(item *Waiter, used float64, now time.Time) {
	s.charge(item.team, used-item.ticket.Cost())
	item.team.inFlight--
	s.deactivate(item.team)
	s.rate.add(used, now)
}

// activate counts a team that had no requests as present. Its service is raised
// to startTime, so that it gets no credit for the time without requests.
func (s *Scheduler) activate(tm *team) {
	if tm.waiting+tm.inFlight > 0 {
		return
	}
	tm.service = max(tm.service, s.startTime)
	tm.presentWeight = tm.weight
	s.presentWeight += tm.presentWeight
}

func (s *Scheduler) deactivate(tm *team) {
	if tm.waiting+tm.inFlight == 0 {
		s.presentWeight -= tm.presentWeight
		tm.presentWeight = 0
	}
}

// servedBefore reports whether a is dispatched before b: by the service of their
// teams, then as in precedes.
func servedBefore(a, b *Waiter) bool {
	if a.team != b.team && a.team.service != b.team.service {
		return a.team.service < b.team.service
	}
	return precedes(a, b)
}

// precedes reports whether a is dispatched before b within a team: by priority,
// then the last calls of programs, then by rank and arrival.
func precedes(a, b *Waiter) bool {
	if a.ticket.Priority() != b.ticket.Priority() {
		return a.ticket.Priority() > b.ticket.Priority()
	}
	if a.ticket.LastOfProgram() != b.ticket.LastOfProgram() {
		return a.ticket.LastOfProgram()
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.seq < b.seq
}

// rank is the start of the program plus AgeStep for each doubling of its attained
// service, in seconds. It does not change while a request waits, which prevents
// starvation.
func (s *Scheduler) rank(t hawthornrail.Ticket, now time.Time) float64 {
	start := now
	if programStart := t.ProgramStart(); !programStart.IsZero() {
		start = programStart
	}
	doublings := math.Log2(1 + t.Attained()/attainedUnit)
	return float64(start.UnixNano())/float64(time.Second) + doublings*s.limits.AgeStep.Seconds()
}

func (s *Scheduler) dequeued(item *Waiter) {
	item.team.waiting--
	item.team.backlog -= item.ticket.Cost()
	s.waiting--
	s.updateWaitingWeight(item.team)
}

func (s *Scheduler) charge(tm *team, tokens float64) {
	tm.service += tokens / tm.weight
	s.virtualTime += tokens / max(s.presentWeight, minWeight)
	s.started.fix(tm)
	s.fresh.fix(tm)
}

func (s *Scheduler) team(t hawthornrail.Ticket) *team {
	tm, ok := s.teams[t.Team()]
	if !ok {
		if len(s.teams) >= teamCleanupThreshold {
			s.dropIdleTeams()
		}
		tm = &team{}
		s.teams[t.Team()] = tm
	}
	tm.weight = max(t.Weight(), minWeight)
	return tm
}

// dropIdleTeams removes teams without requests whose service is not above
// startTime: activate would reset it anyway.
func (s *Scheduler) dropIdleTeams() {
	for name, tm := range s.teams {
		if tm.waiting+tm.inFlight == 0 && tm.service <= s.startTime {
			delete(s.teams, name)
		}
	}
}

// expectedWait is the time to serve the team's own backlog at its share of the
// rate. It does not depend on other teams' backlogs.
func (s *Scheduler) expectedWait(tm *team, now time.Time) time.Duration {
	rate := s.rate.perSecond(now)
	if rate < minRate || tm.backlog <= 0 {
		return 0
	}
	share := tm.weight / s.totalWeight(tm)
	return time.Duration(tm.backlog / (rate * share) * float64(time.Second))
}

// totalWeight is the sum of the weights of the teams with waiting requests,
// including tm.
func (s *Scheduler) totalWeight(tm *team) float64 {
	return s.waitingWeight - tm.waitingWeight + tm.weight
}

// updateWaitingWeight updates the sum of the waiting teams' weights for a team.
func (s *Scheduler) updateWaitingWeight(tm *team) {
	weight := 0.0
	if tm.waiting > 0 {
		weight = tm.weight
	}
	s.waitingWeight += weight - tm.waitingWeight
	tm.waitingWeight = weight
}

// retryAfter returns a random delay of one to two times the excess over the
// limit, so that refused callers do not all retry at the same time.
func (s *Scheduler) retryAfter(wait, limit time.Duration) time.Duration {
	excess := max(wait-limit, limit/4, time.Second)
	return excess + time.Duration(s.random.Float64()*float64(excess))
}

// rateMeter measures the tokens served per second as an exponentially decaying
// average.
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
	if elapsed := now.Sub(r.last); elapsed > 0 {
		r.sum *= math.Exp2(-elapsed.Seconds() / rateHalfLife.Seconds())
		r.last = now
	}
}

// perSecond returns 0 until one half-life has been observed.
func (r *rateMeter) perSecond(now time.Time) float64 {
	if r.first.IsZero() || now.Sub(r.first) < rateHalfLife {
		return 0
	}
	r.decay(now)
	return r.sum * math.Ln2 / rateHalfLife.Seconds()
}

// team is the service of one team and its waiting requests in each class.
type team struct {
	weight float64
	// service is the tokens served divided by the weight.
	service       float64
	backlog       float64
	waiting       int
	inFlight      int
	waitingWeight float64
	presentWeight float64
	// items are the waiting requests of each class, and index is the team's
	// position in the heap of each class.
	items [2]itemHeap
	index [2]int
}

// requestClass is a heap of the teams that have requests of the class waiting.
type requestClass struct {
	id    int
	teams []*team
}

func (c *requestClass) push(i *Waiter) {
	items := &i.team.items[c.id]
	first := len(*items) == 0
	heap.Push(items, i)
	if first {
		heap.Push(c, i.team)
		return
	}
	heap.Fix(c, i.team.index[c.id])
}

func (c *requestClass) remove(i *Waiter) {
	items := &i.team.items[c.id]
	heap.Remove(items, i.index)
	if len(*items) > 0 {
		heap.Fix(c, i.team.index[c.id])
		return
	}
	heap.Remove(c, i.team.index[c.id])
}

func (c *requestClass) top() *Waiter {
	if len(c.teams) == 0 {
		return nil
	}
	return c.teams[0].items[c.id][0]
}

func (c *requestClass) fix(tm *team) {
	if len(tm.items[c.id]) > 0 {
		heap.Fix(c, tm.index[c.id])
	}
}

// Len implements heap.Interface.
func (c *requestClass) Len() int { return len(c.teams) }

// Less implements heap.Interface.
func (c *requestClass) Less(i, j int) bool {
	return servedBefore(c.teams[i].items[c.id][0], c.teams[j].items[c.id][0])
}

// Swap implements heap.Interface.
func (c *requestClass) Swap(i, j int) {
	c.teams[i], c.teams[j] = c.teams[j], c.teams[i]
	c.teams[i].index[c.id], c.teams[j].index[c.id] = i, j
}

// Push implements heap.Interface.
func (c *requestClass) Push(x any) {
	tm := x.(*team)
	tm.index[c.id] = len(c.teams)
	c.teams = append(c.teams, tm)
}

// Pop implements heap.Interface.
func (c *requestClass) Pop() any {
	last := len(c.teams) - 1
	tm := c.teams[last]
	c.teams[last] = nil
	c.teams = c.teams[:last]
	return tm
}

type itemHeap []*Waiter

// Len implements heap.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap) Less(i, j int) bool { return precedes(h[i], h[j]) }

// Swap implements heap.Interface.
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	i := x.(*Waiter)
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
