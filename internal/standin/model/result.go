package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// decodeWeight is the cost of a completion token in prompt tokens.
const decodeWeight = decodeSecondsPerToken * prefillPerSecond

func decodeCost(completion int) float64 { return decodeWeight * float64(completion) }

// bucket is a token bucket that enforces a team's rate exactly over all VMs.
type bucket struct {
	rate      float64
	burst     float64
	tokens    float64
	updatedAt float64
}

func newBucket(rate float64) bucket {
	burst := max(1, rate*burstSeconds)
	return bucket{rate: rate, burst: burst, tokens: burst}
}

// take takes a token and returns 0, or returns the seconds until one is
// available.
func (b *bucket) take(now float64) float64 {
	b.tokens = min(b.burst, b.tokens+(now-b.updatedAt)*b.rate)
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return (1 - b.tokens) / b.rate
}

// Result holds the measurements of a run.
type Result struct {
	duration      float64
	latency       *hdrhistogram.Histogram // milliseconds
	service       []float64               // engine seconds by team within the trace's duration
	running       map[*run]bool
	wasted        int
	prefilled     int
	retries       int
	refused       []int
	refusedByRate int
	programs      int
	abandoned     int
	worstTeam     float64
	imbalance     average
}

// average accumulates the mean of samples.
type average struct {
	sum   float64
	count int
}

// sampleImbalance samples the ratio of the most loaded engine's calls to the
// mean.
func (r *Result) sampleImbalance(engines []*engine) {
	highest, sum, healthy := 0, 0, 0
	for _, e := range engines {
		if e.failed {
			continue
		}
		n := len(e.waiting) + e.running()
		highest, sum, healthy = max(highest, n), sum+n, healthy+1
	}
	if sum > 0 {
		r.imbalance.sum += float64(highest*healthy) / float64(sum)
		r.imbalance.count++
	}
}

// Imbalance returns the mean ratio of the most loaded engine's calls to the
// mean over all engines.
func (r Result) Imbalance() float64 { return r.imbalance.sum / max(1, float64(r.imbalance.count)) }

const maxLatencyMS = 10_000_000

func newResult(t Trace) Result {
	return Result{
		duration: t.duration, latency: hdrhistogram.New(1, maxLatencyMS, 3),
		service: make([]float64, len(t.rates)), refused: make([]int, len(t.rates)), running: make(map[*run]bool),
	}
}

func (r *Result) programStarted(p *run) {
	r.programs++
	r.running[p] = true
}

func (r *Result) callServed(j *job, now float64) {
	t := j.call.turn()
	r.prefilled += j.uncached
	r.wasted += max(0, j.uncached-t.prompt)
	if now <= r.duration {
		r.service[j.call.run.plan.team] += t.work()
	}
}

func (r *Result) programEnded(p *run, now float64, completed bool) {
	delete(r.running, p)
	if !completed {
		r.abandoned++
	}
	r.recordLatency(p, now)
}

// recordLatency records a program's latency, except for the team that sends
// more than its rate: its own rate limit delays its programs.
func (r *Result) recordLatency(p *run, now float64) {
	if p.plan.team == greedyTeam {
		return
	}
	ms := int64((now - p.start) * 1000)
	_ = r.latency.RecordValue(min(max(1, ms), maxLatencyMS))
}

// finish records unfinished programs with their age as the latency and
// calculates the service of the worst-served team.
func (r Result) finish(t Trace, now float64) Result {
	for p := range r.running {
		r.recordLatency(p, now)
	}
	r.worstTeam = math.Inf(1)
	for team, share := range fairShares(t) {
		r.worstTeam = min(r.worstTeam, r.service[team]/share)
	}
	return r
}

// Latency returns a percentile of the programs' latency.
func (r Result) Latency(percentile float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percentile)) * time.Millisecond
}

// WastedTokens returns the prompt tokens prefilled more than once.
func (r Result) WastedTokens() int { return r.wasted }

// PrefilledTokens returns all prompt tokens prefilled.
func (r Result) PrefilledTokens() int { return r.prefilled }

// WorstTeam returns the service of the worst-served team as a fraction of its
// fair share.
func (r Result) WorstTeam() float64 { return r.worstTeam }

// Refused returns the number of calls that were refused although they were
// within their team's rate.
func (r Result) Refused() int {
	n := 0
	for _, v := range r.refused {
		n += v
	}
	return n
}

// RefusedByRate returns the number of calls that were refused because they
// exceeded their team's rate.
func (r Result) RefusedByRate() int { return r.refusedByRate }

// Retries returns the number of calls that were retried after an engine failed.
func (r Result) Retries() int { return r.retries }

// Programs returns the number of programs that were started.
func (r Result) Programs() int { return r.programs }

// Unfinished returns the number of programs that did not complete.
func (r Result) Unfinished() int { return len(r.running) + r.abandoned }

// fairShares divides the capacity in proportion to the teams' rates, with each
// team's share limited to its demand (max-min fairness). It assumes that every
// engine runs a full batch without a queue.
func fairShares(t Trace) []float64 {
	demands := demand(t)
	shares := make([]float64, len(demands))
	remaining, weight := float64(t.size.engines)*t.duration, 0.0
	order := make([]int, len(demands))
	for i := range demands {
		order[i] = i
		weight += t.rates[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		return int(math.Copysign(1, demands[a]/t.rates[a]-demands[b]/t.rates[b]))
	})
	for _, i := range order {
		shares[i] = min(demands[i], remaining*t.rates[i]/weight)
		remaining -= shares[i]
		weight -= t.rates[i]
	}
	return shares
}

// demand returns the engine seconds that each team's programs need within the
// trace's duration when every call runs at the speed of a full batch and the
// team's rate applies.
func demand(t Trace) []float64 { return ideal(t).result.service }

// Ideal returns the measurements with an unlimited number of engines, where
// each call runs at the speed of a full batch and no token is prefilled twice.
func Ideal(t Trace) Result {
	sim := ideal(t)
	return sim.result.finish(t, sim.now)
}

func ideal(t Trace) *simulation {
	sim := &simulation{trace: t, random: rand.New(rand.NewPCG(7, 7)), result: newResult(t)}
	for _, rate := range t.rates {
		sim.buckets = append(sim.buckets, newBucket(rate))
	}
	sim.unfinished = len(t.plans)
	sim.balancer = &idealBalancer{simulation: sim}
	for _, p := range t.plans {
		sim.schedule(p.arrival, func() { sim.startProgram(p, 0, nil) })
	}
	sim.runEvents()
	return sim
}

// idealBalancer serves every call immediately at the speed of a full batch.
type idealBalancer struct{ simulation *simulation }

func (b *idealBalancer) enqueue(c *call, now float64) (float64, bool) {
	seconds := float64(c.turn().prompt)/prefillPerSecond + float64(c.turn().completion)*fullBatchStep
	b.simulation.schedule(now+seconds, func() { b.simulation.completeCall(&job{call: c, uncached: c.turn().prompt}, 0) })
	return 0, true
}

func (*idealBalancer) next(int, float64) (*call, int, bool) { return nil, 0, false }
func (*idealBalancer) done(*job, int, bool, float64)        {}
func (*idealBalancer) report(int, int, loadReport, float64) {}
func (*idealBalancer) unresponsive(int, int, float64)       {}
func (*idealBalancer) evicted(int, int, string, float64)    {}
func (*idealBalancer) ended(*run) bool                      { return false }
func (*idealBalancer) unhealthy(int)                        {}
