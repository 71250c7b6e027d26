package endpoint_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
)

// The fleet of the tests of pace, in virtual time. Endpoints of three speeds serve
// requests in batches; the pace of some flips as that of the services at hand does.
const (
	pacedEndpoints    = 60
	pacedTurns        = 6
	pacedSystems      = 20
	pacedToolSets     = 3
	pacedSeconds      = 20.0
	pacedLoad         = 0.6
	pacedShare        = 0.15
	pacedBatchCost    = 0.25
	tokensPerSecond   = 400.0
	pacedPrefillSpeed = 112_000.0
	pacedSampling     = 0.05 // seconds
)

var pacedSpeeds = []float64{0.6, 1.0, 1.6}

// pacedRequest is one request of the trace.
type pacedRequest struct {
	vm        int
	program   string
	parts     []hawthornrail.PromptPart
	prompt    int
	generated int
	arrived   float64
	sentTo    int
	prefilled int
	pace      float64
	sent      float64
}

func (r *pacedRequest) work(cached int) float64 {
	return 0.05 + float64(r.generated)/tokensPerSecond + float64(r.prompt-cached)/pacedPrefillSpeed
}

// pacedJob is a request that an endpoint runs until its progress reaches finishAt.
type pacedJob struct {
	request  *pacedRequest
	finishAt float64
}

type pacedJobs []pacedJob

func (h pacedJobs) Len() int           { return len(h) }
func (h pacedJobs) Less(i, j int) bool { return h[i].finishAt < h[j].finishAt }
func (h pacedJobs) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *pacedJobs) Push(x any)        { *h = append(*h, x.(pacedJob)) }
func (h *pacedJobs) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// pacedEndpoint is an endpoint of the fleet.
type pacedEndpoint struct {
	speed, pace   float64
	flips         bool
	now, progress float64
	running       pacedJobs
	waiting       []*pacedRequest
	cached        map[string]int
	generation    int
}

func (e *pacedEndpoint) rate() float64 {
	return 1 / (e.speed * e.pace * (1 + pacedBatchCost*float64(len(e.running))/slots))
}

func (e *pacedEndpoint) advance(now float64) {
	e.progress += (now - e.now) * e.rate()
	e.now = now
}

// cachedTokens returns the tokens of a prompt that the program or others with the same
// first parts have left in the cache.
func (e *pacedEndpoint) cachedTokens(r *pacedRequest) int {
	shared := 0
	for _, part := range r.parts {
		if e.cached[part.ID()] == 0 {
			break
		}
		shared += part.Tokens()
	}
	return min(max(shared, e.cached[r.program]), r.prompt)
}

func (e *pacedEndpoint) load() int { return len(e.running) + len(e.waiting) }

// pacedEvent is a scheduled change of the fleet.
type pacedEvent struct {
	at float64
	do func()
}

type pacedEvents []pacedEvent

func (h pacedEvents) Len() int           { return len(h) }
func (h pacedEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h pacedEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *pacedEvents) Push(x any)        { *h = append(*h, x.(pacedEvent)) }
func (h *pacedEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// pacedFleet serves one seeded trace. With reporting unset, its endpoints report no
// pace, so that the choices are those of the code without it.
type pacedFleet struct {
	reporting bool
	// parts is set if the VMs are told the parts of prompts.
	parts     bool
	endpoints []*pacedEndpoint
	tables    []*endpoint.Table
	events    pacedEvents
	now       float64
	served    int
	total     float64
	swing     float64
	samples   int
	prefilled int
}

func newPacedFleet(vms int, reporting bool, seed uint64) *pacedFleet {
	f := &pacedFleet{reporting: reporting, parts: reporting}
	var list []hawthornrail.Endpoint
	for i := range pacedEndpoints {
		list = append(list, hawthornrail.NewEndpoint(fmt.Sprintf("e%d", i), hawthornrail.EngineEndpoint, "dc1", "", []string{"m"}).WithSlots(slots))
		f.endpoints = append(f.endpoints, &pacedEndpoint{speed: pacedSpeeds[i%len(pacedSpeeds)], pace: 1, cached: make(map[string]int)})
	}
	for vm := range vms {
		table := endpoint.NewTable(endpoint.ForwardParams(), "dc1", rand.New(rand.NewPCG(seed, uint64(vm))))
		table.Set(list)
		table.SetSenders(vms)
		f.tables = append(f.tables, table)
	}
	f.scheduleFlips(rand.New(rand.NewPCG(seed, 1<<32)))
	f.scheduleRequests(rand.New(rand.NewPCG(seed, 1<<33)), vms)
	return f
}

func (f *pacedFleet) schedule(at float64, do func()) { heap.Push(&f.events, pacedEvent{at, do}) }

// scheduleFlips makes the pace of a share of the endpoints change between 1 and up
// to 2.5 every 100 to 600 ms.
func (f *pacedFleet) scheduleFlips(random *rand.Rand) {
	for i := range int(math.Round(pacedShare * pacedEndpoints)) {
		e := f.endpoints[(i*7)%pacedEndpoints]
		for at := random.Float64(); at < 2*pacedSeconds; at += 0.1 + 0.5*random.Float64() {
			pace := 1 + 1.5*random.Float64()
			f.schedule(at, func() {
				e.advance(f.now)
				e.flips = !e.flips
				e.pace = 1
				if e.flips {
					e.pace = pace
				}
				f.scheduleCompletion(e)
			})
		}
	}
}

// scheduleRequests schedules programs whose prompts grow and whose turns follow each
// other, at random VMs.
func (f *pacedFleet) scheduleRequests(random *rand.Rand, vms int) {
	mean := (&pacedRequest{generated: 140, prompt: 3000}).work(0) * (1 + pacedBatchCost)
	capacity := 0.0
	for _, e := range f.endpoints {
		capacity += slots / (mean * e.speed)
	}
	perSecond := pacedLoad * capacity
	for i, at := 0, 0.0; at < pacedSeconds; i, at = i+1, at+random.ExpFloat64()/perSecond*pacedTurns {
		system := random.IntN(pacedSystems)
		parts := []hawthornrail.PromptPart{
			hawthornrail.NewPromptPart(fmt.Sprint("system", system), 2000),
			hawthornrail.NewPromptPart(fmt.Sprint("tools", system, random.IntN(pacedToolSets)), 2000),
		}
		prompt := 4000 + random.IntN(2000)
		turn := at
		for range pacedTurns {
			prompt += random.IntN(500)
			r := &pacedRequest{vm: random.IntN(vms), program: fmt.Sprint(i), parts: parts, prompt: prompt, generated: 40 + random.IntN(200), arrived: turn}
			f.schedule(turn, func() { f.arrive(r) })
			turn += 1 + random.Float64()
		}
	}
}

func pacedTime(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func (f *pacedFleet) query(r *pacedRequest) hawthornrail.PickQuery {
	q := hawthornrail.NewPickQuery(hawthornrail.EngineEndpoint, "m", r.program, r.prompt)
	if f.parts {
		q = q.WithParts(r.parts)
	}
	return q
}

func (f *pacedFleet) arrive(r *pacedRequest) {
	e, _ := f.tables[r.vm].Choose(f.query(r), pacedTime(f.now))
	_, _ = fmt.Sscanf(e.Name(), "e%d", &r.sentTo)
	to := f.endpoints[r.sentTo]
	r.sent = f.now
	to.advance(f.now)
	to.waiting = append(to.waiting, r)
	f.admit(to)
	f.scheduleCompletion(to)
}

// admit starts waiting requests in free slots; their responses begin with a report.
func (f *pacedFleet) admit(e *pacedEndpoint) {
	for len(e.waiting) > 0 && len(e.running) < slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cachedTokens(r)
		r.prefilled = r.prompt - cached
		heap.Push(&e.running, pacedJob{r, e.progress + r.work(cached)})
		report := endpoint.NewReport(len(e.waiting), len(e.running), 0, 0)
		if f.reporting {
			r.pace = math.Round(100*e.pace) / 100
			report = report.WithPace(r.pace)
		}
		f.tables[r.vm].Report(fmt.Sprintf("e%d", r.sentTo), report, pacedTime(f.now))
	}
}

func (f *pacedFleet) scheduleCompletion(e *pacedEndpoint) {
	e.generation++
	if len(e.running) == 0 {
		return
	}
	generation := e.generation
	f.schedule(f.now+max(0, e.running[0].finishAt-e.progress)/e.rate(), func() {
		if generation != e.generation {
			return
		}
		e.advance(f.now)
		f.complete(heap.Pop(&e.running).(pacedJob).request)
		f.admit(e)
		f.scheduleCompletion(e)
	})
}

func (f *pacedFleet) complete(r *pacedRequest) {
	name, now, took := fmt.Sprintf("e%d", r.sentTo), pacedTime(f.now), time.Duration((f.now-r.sent)*float64(time.Second))
	table := f.tables[r.vm]
	if f.reporting {
		table.Learn(name, f.query(r), endpoint.NewSample(r.generated, r.pace, took), now)
	}
	table.Done(name, endpoint.Served, took, now)
	table.Cached(r.program, name, r.prompt+r.generated, now)
	table.CachedParts(f.query(r), name, now)
	f.endpoints[r.sentTo].cached[r.program] = r.prompt + r.generated
	for _, part := range r.parts {
		f.endpoints[r.sentTo].cached[part.ID()] = part.Tokens()
	}
	f.prefilled += r.prefilled
	f.served++
	f.total += f.now - r.arrived
}

// sampleSwing adds how far the loads of endpoints of one speed differ from their
// mean, in slots.
func (f *pacedFleet) sampleSwing() {
	for speed := range pacedSpeeds {
		var sum, squares, n float64
		for i := speed; i < pacedEndpoints; i += len(pacedSpeeds) {
			load := float64(f.endpoints[i].load())
			sum, squares, n = sum+load, squares+load*load, n+1
		}
		f.swing += math.Sqrt(max(0, squares/n-sum*sum/n/n)) / slots
		f.samples++
	}
}

// run plays the trace and returns the mean time of a request in seconds, and the
// mean standard deviation of load over endpoints of one speed in slots.
func (f *pacedFleet) run() (mean, swing float64) {
	for at := 1.0; at < pacedSeconds; at += pacedSampling {
		f.schedule(at, f.sampleSwing)
	}
	for len(f.events) > 0 {
		event := heap.Pop(&f.events).(pacedEvent)
		f.now = event.at
		event.do()
	}
	return f.total / float64(f.served), f.swing / float64(f.samples)
}

// pacedRuns are the mean time and the spread of load over some seeds.
func pacedRuns(vms int, reporting bool) (mean, swing float64) {
	const seeds = 2
	for seed := range uint64(seeds) {
		m, s := newPacedFleet(vms, reporting, seed).run()
		mean, swing = mean+m/seeds, swing+s/seeds
	}
	return mean, swing
}

// Guards against VMs that all go to the fast endpoints at once and swing between
// endpoints as their pace flips: requests then take longer on average than without
// the use of pace, and endpoints of equal speed differ in load.
func TestPaceShortensRequestsWithoutSwing(t *testing.T) {
	// maxSwing is in slots; a VM alone, which knows all loads, has 0.1.
	const maxMeanShare, maxSwing, maxSwingShare = 0.97, 0.35, 1.03
	for _, vms := range []int{9, 60, 340} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			t.Parallel()
			meanBefore, swingBefore := pacedRuns(vms, false)
			mean, swing := pacedRuns(vms, true)
			t.Logf("mean %.0f ms, without pace %.0f ms; spread of load %.3f of the slots, without %.3f", 1000*mean, 1000*meanBefore, swing, swingBefore)
			if mean > maxMeanShare*meanBefore {
				t.Errorf("requests take %.0f ms, without pace %.0f ms", 1000*mean, 1000*meanBefore)
			}
			if swing > maxSwing || swing > maxSwingShare*swingBefore {
				t.Errorf("loads at equal speed differ by %.3f of the slots, without pace by %.3f", swing, swingBefore)
			}
		})
	}
}

// Guards against hints on the shared parts of prompts that do not save prefill.
func TestSharedPartsSavePrefill(t *testing.T) {
	for _, vms := range []int{9, 60, 340} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			t.Parallel()
			without, with := newPacedFleet(vms, true, 1), newPacedFleet(vms, true, 1)
			without.parts = false
			meanWithout, _ := without.run()
			mean, _ := with.run()
			t.Logf("%d tokens prefilled and %.0f ms on average, without hints on parts %d tokens and %.0f ms", with.prefilled, 1000*mean, without.prefilled, 1000*meanWithout)
			if with.prefilled >= without.prefilled || mean > meanWithout {
				t.Errorf("%d tokens prefilled in %.0f ms, without hints on parts %d in %.0f ms", with.prefilled, 1000*mean, without.prefilled, 1000*meanWithout)
			}
		})
	}
}
