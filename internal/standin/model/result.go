package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// decodeWeight is how many prompt tokens a completion token costs.
const decodeWeight = decodeSeconds * prefillPerSecond

func serviceOf(completion int) float64 { return decodeWeight * float64(completion) }

// bucket is a team's exact rate over all VMs.
type bucket struct {
	rate   float64
	burst  float64
	tokens float64
	last   float64
}

func newBucket(rate float64) bucket {
	burst := max(1, rate*burstSeconds)
	return bucket{rate: rate, burst: burst, tokens: burst}
}

// take takes a token or returns the seconds until there is one.
func (b *bucket) take(now float64) float64 {
	b.tokens = min(b.burst, b.tokens+(now-b.last)*b.rate)
	b.last = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return (1 - b.tokens) / b.rate
}

// Result are the measures of a run.
type Result struct {
	duration      float64
	latency       *hdrhistogram.Histogram // milliseconds
	service       []float64               // engine seconds within the trace's time
	open          map[*run]bool
	wasted        int
	prefilled     int
	retries       int
	refused       []int
	refusedByRate int
	programs      int
	abandoned     int
	worst         float64
	imbalance     average
}

// average is a mean over samples.
type average struct {
	sum   float64
	count int
}

// observe samples how much fuller than the mean the fullest engine is.
func (r *Result) observe(engines []*engine) {
	fullest, sum, alive := 0, 0, 0
	for _, e := range engines {
		if e.lost {
			continue
		}
		n := len(e.waiting) + e.running()
		fullest, sum, alive = max(fullest, n), sum+n, alive+1
	}
	if sum > 0 {
		r.imbalance.sum += float64(fullest*alive) / float64(sum)
		r.imbalance.count++
	}
}

// Imbalance returns the mean of the fullest engine's requests over the mean
// engine's.
func (r Result) Imbalance() float64 { return r.imbalance.sum / max(1, float64(r.imbalance.count)) }

const maxLatencyMS = 10_000_000

func newResult(t Trace) Result {
	return Result{
		duration: t.duration, latency: hdrhistogram.New(1, maxLatencyMS, 3),
		service: make([]float64, len(t.rates)), refused: make([]int, len(t.rates)), open: make(map[*run]bool),
	}
}

func (r *Result) begun(p *run) {
	r.programs++
	r.open[p] = true
}

func (r *Result) served(j *job, now float64) {
	t := j.call.turn()
	r.prefilled += j.uncached
	r.wasted += max(0, j.uncached-t.prompt)
	if now <= r.duration {
		r.service[j.call.run.plan.team] += t.work()
	}
}

func (r *Result) ended(p *run, now float64, completed bool) {
	delete(r.open, p)
	if !completed {
		r.abandoned++
	}
	r.record(p, now)
}

// record leaves out the team that sends more than its rate, since its own
// rate holds its programs back.
func (r *Result) record(p *run, now float64) {
	if p.plan.team == greedyTeam {
		return
	}
	ms := int64((now - p.start) * 1000)
	_ = r.latency.RecordValue(min(max(1, ms), maxLatencyMS))
}

// finish counts programs that have not ended with their age.
func (r Result) finish(t Trace, now float64) Result {
	for p := range r.open {
		r.record(p, now)
	}
	r.worst = math.Inf(1)
	for team, fair := range fairShares(t) {
		r.worst = min(r.worst, r.service[team]/fair)
	}
	return r
}

// Latency returns a percentile of the programs' time.
func (r Result) Latency(percentile float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percentile)) * time.Millisecond
}

// WastedTokens returns the prompt tokens prefilled more than once.
func (r Result) WastedTokens() int { return r.wasted }

// PrefilledTokens returns all prompt tokens prefilled.
func (r Result) PrefilledTokens() int { return r.prefilled }

// WorstTeam returns the service of the worst-served team as a part of its
// fair share.
func (r Result) WorstTeam() float64 { return r.worst }

// Refused returns the calls refused although within their team's rate.
func (r Result) Refused() int {
	n := 0
	for _, v := range r.refused {
		n += v
	}
	return n
}

// RefusedByRate returns the calls refused beyond their team's rate.
func (r Result) RefusedByRate() int { return r.refusedByRate }

// Retries returns the calls sent again after an engine was lost.
func (r Result) Retries() int { return r.retries }

// Programs returns the number of programs begun.
func (r Result) Programs() int { return r.programs }

// Unfinished returns the programs that did not complete.
func (r Result) Unfinished() int { return len(r.open) + r.abandoned }

// fairShares divides the capacity by the teams' rates, none more than it asks
// for: what it would get if every engine had a full batch and no queue.
func fairShares(t Trace) []float64 {
	asked := demand(t)
	fair := make([]float64, len(asked))
	left, weight := float64(t.size.engines)*t.duration, 0.0
	order := make([]int, len(asked))
	for i := range asked {
		order[i] = i
		weight += t.rates[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		return int(math.Copysign(1, asked[a]/t.rates[a]-asked[b]/t.rates[b]))
	})
	for _, i := range order {
		fair[i] = min(asked[i], left*t.rates[i]/weight)
		left -= fair[i]
		weight -= t.rates[i]
	}
	return fair
}

// demand returns the work that each team's programs ask for within the
// trace's time, at the pace of a full batch and of the team's rate.
func demand(t Trace) []float64 { return ideal(t).result.service }

// Ideal returns the measures of engines without number, each call at the pace
// of a full batch and nothing prefilled twice.
func Ideal(t Trace) Result {
	w := ideal(t)
	return w.result.finish(t, w.now)
}

func ideal(t Trace) *world {
	w := &world{trace: t, random: rand.New(rand.NewPCG(7, 7)), result: newResult(t)}
	for _, rate := range t.rates {
		w.buckets = append(w.buckets, newBucket(rate))
	}
	w.left = len(t.plans)
	w.balancer = &idealBalancer{world: w}
	for _, p := range t.plans {
		w.at(p.arrival, func() { w.begin(p, 0, nil) })
	}
	w.play()
	return w
}

// idealBalancer serves every call at the pace of a full batch.
type idealBalancer struct{ world *world }

func (b *idealBalancer) offer(c *call, now float64) (float64, bool) {
	took := float64(c.turn().prompt)/prefillPerSecond + float64(c.turn().completion)*fullStep
	b.world.at(now+took, func() { b.world.finished(&job{call: c, uncached: c.turn().prompt}, 0) })
	return 0, true
}

func (*idealBalancer) next(int, float64) (*call, int, bool) { return nil, 0, false }
func (*idealBalancer) done(*job, int, bool, float64)        {}
func (*idealBalancer) report(int, int, report, float64)     {}
func (*idealBalancer) silent(int, int, float64)             {}
func (*idealBalancer) evicted(int, int, string, float64)    {}
func (*idealBalancer) ended(*run) bool                      { return false }
func (*idealBalancer) dropped(int)                          {}
