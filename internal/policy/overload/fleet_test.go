package overload_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
	"hawthornrail.example/hawthornrail/internal/policy/overload"
)

// The fleet of the tests, in virtual time: endpoints of uneven speed that accept all
// requests, VMs that choose endpoints and refuse requests by what they see themselves,
// and callers with programs of several turns that come back after a refusal.
const (
	fleetSlots     = 8
	fleetTurns     = 6
	fleetWork      = 0.4  // seconds of a mean request alone at an endpoint of speed 1
	fleetBatchCost = 0.25 // by which a full batch lengthens requests
	fleetPause     = 0.5  // seconds between turns
	fleetDeadline  = 10.0 // seconds from the first attempt to the end of a program
	fleetLeast     = 5.0  // seconds that a caller needs for a program; with less it gives up
	fleetObjective = 2 * time.Second
	warmUp         = 10 // seconds
)

var (
	fleetSpeeds = []float64{0.6, 1.0, 1.6}
	start       = time.Unix(1_700_000_000, 0)
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// program is a program of a caller.
type program struct {
	id       string
	team     string
	priority int
	begun    float64
	turn     int
	works    []float64
	done     float64
}

// job is a request at an endpoint that ends when the endpoint's progress is finishAt.
type job struct {
	program  *program
	vm, to   int
	sent     float64
	finishAt float64
}

type jobs []*job

func (h jobs) Len() int           { return len(h) }
func (h jobs) Less(i, j int) bool { return h[i].finishAt < h[j].finishAt }
func (h jobs) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobs) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *jobs) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// server is an endpoint.
type server struct {
	name          string
	speed         float64
	now, progress float64
	running       jobs
	waiting       []*job
	generation    int
}

func (s *server) rate() float64 {
	return 1 / (s.speed * (1 + fleetBatchCost*float64(len(s.running))/fleetSlots))
}

func (s *server) advance(now float64) {
	s.progress += (now - s.now) * s.rate()
	s.now = now
}

type event struct {
	at float64
	do func()
}

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at < h[j].at }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// load is the load of new programs as a fraction of capacity by time, and who sends
// them.
type load func(now float64) (fraction float64, team string, priority int)

type fleet struct {
	controlled  bool
	servers     []*server
	tables      []*endpoint.Table
	controllers []*overload.Controller
	random      *rand.Rand
	events      events
	now         float64
	programs    []*program
	// turns are the times at which turns of each program ended.
	turns    map[*program][]float64
	refusals map[string]int
	offers   map[string]int
	admits   map[string]int
	started  int
	// offeredIn and refusedIn are requests by the second.
	offeredIn map[int]int
	refusedIn map[int]int
	// times are the durations of requests by the second in which they ended.
	times map[int][]float64
}

func newFleet(vms, endpoints int, controlled bool, seed uint64) *fleet {
	f := &fleet{
		controlled: controlled, random: rand.New(rand.NewPCG(seed, 99)), turns: make(map[*program][]float64),
		refusals: make(map[string]int), offers: make(map[string]int), admits: make(map[string]int), times: make(map[int][]float64),
		offeredIn: make(map[int]int), refusedIn: make(map[int]int),
	}
	var list []hawthornrail.Endpoint
	for i := range endpoints {
		s := &server{name: fmt.Sprintf("e%d", i), speed: fleetSpeeds[i%len(fleetSpeeds)]}
		f.servers = append(f.servers, s)
		list = append(list, hawthornrail.NewEndpoint(s.name, hawthornrail.ServiceEndpoint, "dc1", "", []string{"m"}).WithSlots(fleetSlots))
	}
	for vm := range vms {
		table := endpoint.NewTable(endpoint.ForwardParams(), "dc1", rand.New(rand.NewPCG(seed, uint64(vm))))
		table.SetSenders(vms)
		table.Set(list)
		f.tables = append(f.tables, table)
		f.controllers = append(f.controllers, overload.New(overload.DefaultParams(), rand.New(rand.NewPCG(seed+1, uint64(vm)))))
	}
	return f
}

// capacity is the requests a second that the endpoints complete in full batches.
func (f *fleet) capacity() (perSecond float64) {
	for _, s := range f.servers {
		perSecond += fleetSlots / (fleetWork * (1 + fleetBatchCost) * s.speed)
	}
	return perSecond
}

func (f *fleet) schedule(at float64, do func()) { heap.Push(&f.events, event{at, do}) }

// offer schedules the new programs of a load until a time.
func (f *fleet) offer(l load, until float64) {
	capacity := f.capacity()
	for now := 0.0; now < until; {
		fraction, team, priority := l(now)
		now += f.random.ExpFloat64() / (fraction * capacity / fleetTurns)
		p := &program{id: fmt.Sprint(team, len(f.programs)), team: team, priority: priority, begun: now}
		for range fleetTurns {
			p.works = append(p.works, fleetWork*(0.4+1.2*f.random.Float64()))
		}
		f.programs = append(f.programs, p)
		f.schedule(now, func() { f.arrive(p) })
	}
}

func (f *fleet) arrive(p *program) {
	vm := f.random.IntN(len(f.tables))
	f.offers[p.team]++
	f.offeredIn[int(f.now)]++
	if f.controlled {
		d := f.controllers[vm].Admit(overload.NewRequest(p.team, "r", float64(p.priority), p.turn > 0, fleetObjective), at(f.now))
		if !d.Admitted() {
			f.refuse(p, d.RetryAfter().Seconds())
			return
		}
	}
	f.admits[p.team]++
	q := hawthornrail.NewPickQuery(hawthornrail.ServiceEndpoint, "m", p.id, 0)
	e, _ := f.tables[vm].Choose(q, at(f.now))
	j := &job{program: p, vm: vm, sent: f.now}
	_, _ = fmt.Sscanf(e.Name(), "e%d", &j.to)
	s := f.servers[j.to]
	s.advance(f.now)
	s.waiting = append(s.waiting, j)
	f.admit(s)
	f.scheduleCompletion(s)
}

func (f *fleet) refuse(p *program, retryAfter float64) {
	f.refusals[p.team]++
	f.refusedIn[int(f.now)]++
	if p.turn > 0 {
		f.started++
	}
	if p.turn == 0 && f.now+retryAfter-p.begun > fleetDeadline-fleetLeast {
		return
	}
	f.schedule(f.now+retryAfter, func() { f.arrive(p) })
}

// admit starts waiting requests in free slots; their responses begin with a report.
func (f *fleet) admit(s *server) {
	for len(s.waiting) > 0 && len(s.running) < fleetSlots {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		j.finishAt = s.progress + j.program.works[j.program.turn]
		heap.Push(&s.running, j)
		f.tables[j.vm].Report(s.name, endpoint.NewReport(len(s.waiting), len(s.running), 0, 0).WithPace(1), at(f.now))
		f.controllers[j.vm].Report(len(s.running), len(s.waiting), fleetSlots, at(f.now))
	}
}

func (f *fleet) scheduleCompletion(s *server) {
	s.generation++
	if len(s.running) == 0 {
		return
	}
	generation := s.generation
	f.schedule(f.now+max(0, s.running[0].finishAt-s.progress)/s.rate(), func() {
		if generation != s.generation {
			return
		}
		s.advance(f.now)
		f.complete(heap.Pop(&s.running).(*job))
		f.admit(s)
		f.scheduleCompletion(s)
	})
}

func (f *fleet) complete(j *job) {
	took, now := time.Duration((f.now-j.sent)*float64(time.Second)), at(f.now)
	q := hawthornrail.NewPickQuery(hawthornrail.ServiceEndpoint, "m", j.program.id, 0)
	name := f.servers[j.to].name
	f.tables[j.vm].Learn(name, q, endpoint.NewSample(0, 1, took), now)
	f.tables[j.vm].Done(name, endpoint.Served, took, now)
	f.controllers[j.vm].Done(true, took, now)
	f.times[int(f.now)] = append(f.times[int(f.now)], f.now-j.sent)
	p := j.program
	f.turns[p] = append(f.turns[p], f.now)
	p.turn++
	if p.turn == fleetTurns {
		p.done = f.now
		return
	}
	f.schedule(f.now+fleetPause*(0.5+f.random.Float64()), func() { f.arrive(p) })
}

func (f *fleet) run() {
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}

// useful is the number of turns that ended in a time, of programs that finished in
// time.
func (f *fleet) useful(from, to float64) (turns int) {
	for p, ends := range f.turns {
		if p.done == 0 || p.done > p.begun+fleetDeadline {
			continue
		}
		for _, end := range ends {
			if end >= from && end < to {
				turns++
			}
		}
	}
	return turns
}

// meanTime is the mean duration of the requests that ended in a second.
func (f *fleet) meanTime(second int) float64 {
	sum := 0.0
	for _, t := range f.times[second] {
		sum += t
	}
	return sum / float64(max(1, len(f.times[second])))
}

// refusedShare is the share of requests that were refused in a time.
func (f *fleet) refusedShare(from, to int) float64 {
	refused, offered := 0, 0
	for second := from; second < to; second++ {
		refused += f.refusedIn[second]
		offered += f.offeredIn[second]
	}
	return float64(refused) / float64(max(1, offered))
}

const (
	burstFrom  = warmUp
	burstUntil = burstFrom + 5
	fleetEnd   = 30
)

func burst(now float64) (fraction float64, team string, priority int) {
	if now >= burstFrom && now < burstUntil {
		return 2.6, "t", 3
	}
	return 0.8, "t", 3
}

// endpointsFor gives each of many VMs enough requests to learn from; at the design
// size a VM has 22 endpoints.
func endpointsFor(vms int) int {
	if vms > 100 {
		return 240
	}
	return 60
}

// Guards against a backlog that makes all programs slow together: without control, the
// share of capacity that goes to programs which finish in time is a fifth.
func TestBurstBeyondCapacity(t *testing.T) {
	// The load outside the burst is 0.8 of capacity.
	const after, minUseful, recovery, maxSlow = 10, 0.9, 3, 1.5
	for _, vms := range []int{9, 60, 340} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			t.Parallel()
			useful := func(controlled bool) (float64, *fleet) {
				f := newFleet(vms, endpointsFor(vms), controlled, 1)
				f.offer(burst, fleetEnd)
				f.run()
				ideal := f.capacity() * (burstUntil - burstFrom + 0.8*after)
				return float64(f.useful(burstFrom, burstUntil+after)) / ideal, f
			}
			without, _ := useful(false)
			with, f := useful(true)
			calm, recovered := f.meanTime(burstFrom-1), f.meanTime(burstUntil+recovery)
			t.Logf("%.2f of full capacity is useful, without control %.2f; mean time %.0f ms before and %.0f ms 3 s after; %.3f refused in the burst, %.3f from 3 s after; %d of started programs",
				with, without, 1000*calm, 1000*recovered, f.refusedShare(burstFrom, burstUntil), f.refusedShare(burstUntil+recovery, fleetEnd), f.started)
			if with < minUseful {
				t.Errorf("%.2f of full capacity goes to programs that finish in time, want %.2f", with, minUseful)
			}
			if recovered > maxSlow*calm {
				t.Errorf("requests take %.0f ms 3 s after the burst, %.0f ms before it", 1000*recovered, 1000*calm)
			}
		})
	}
}

// bursts is a load within capacity on average, with bursts of 1.5 for a second.
func bursts(now float64) (fraction float64, team string, priority int) {
	const period, length, factor = 5.0, 1.0, 1.5
	if math.Mod(now, period) < length {
		return 0.8 * factor, "t", 9
	}
	return 0.8, "t", 9
}

// Guards against refusals on days within capacity.
func TestNoRefusalWithinCapacity(t *testing.T) {
	for _, vms := range []int{9, 60, 340} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			t.Parallel()
			// Many VMs are as many samples as several seeds.
			for seed := range uint64(max(1, 120/vms)) {
				f := newFleet(vms, endpointsFor(vms), true, seed)
				f.offer(bursts, fleetEnd)
				f.run()
				if f.refusals["t"] > 0 {
					t.Errorf("seed %d: %d of %d requests are refused", seed, f.refusals["t"], f.offers["t"])
				}
			}
		})
	}
}

// Guards against a team whose burst is paid for by another one, and against a team of
// low priority that gets nothing.
func TestBurstOfOneTeam(t *testing.T) {
	const vms, endpoints, steady, minSteady, maxStarved = 9, 60, 0.4, 0.8, 0.99
	run := func(priority int) *fleet {
		f := newFleet(vms, endpoints, true, 1)
		f.offer(func(now float64) (float64, string, int) {
			fraction, small := 0.8, 0.5
			if now >= burstFrom && now < fleetEnd {
				fraction = 2.6
				small = steady / fraction
			}
			if f.random.Float64() < small {
				return fraction, "small", priority
			}
			return fraction, "large", 3
		}, fleetEnd)
		f.run()
		t.Logf("small team: %d of %d refused, large team: %d of %d", f.refusals["small"], f.offers["small"], f.refusals["large"], f.offers["large"])
		return f
	}
	t.Run("equal priority", func(t *testing.T) {
		f := run(3)
		if got := 1 - float64(f.refusals["small"])/float64(f.offers["small"]); got < minSteady {
			t.Errorf("%.2f of the requests of the team without a burst are admitted, want %.2f", got, minSteady)
		}
	})
	t.Run("lowest priority", func(t *testing.T) {
		f := run(9)
		if got := float64(f.refusals["small"]) / float64(f.offers["small"]); got > maxStarved {
			t.Errorf("%.3f of the requests of the team with the lowest priority are refused", got)
		}
	})
}
