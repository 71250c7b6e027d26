package overload

import (
	"math/rand/v2"
	"time"
)

// Request is what the decision on a request depends on.
type Request struct {
	sender    string
	priority  float64
	started   bool
	objective time.Duration
}

// NewRequest returns a request of a team on a route with a priority and with whether
// its program has run a request before.
func NewRequest(team, route string, priority float64, started bool, objective time.Duration) Request {
	return Request{sender: team + "/" + route, priority: clamp(priority, 0, lowestPriority), started: started, objective: objective}
}

// Priority returns the priority of a request, from 0 for the highest, by those of its
// team and its route. The team's counts more.
func Priority(team, route int) float64 {
	return teamWeight*float64(team) + (1-teamWeight)*float64(route)
}

// Decision is the decision on a request, with what it was based on.
type Decision struct {
	admitted   bool
	retryAfter time.Duration
	load       float64
	age        time.Duration
	slowdown   float64
	inFlight   int
	limit      float64
	balance    float64
}

// Admitted returns the decision to admit a request without any observations.
func Admitted() Decision { return Decision{admitted: true} }

// Admitted reports whether the request may be sent.
func (d Decision) Admitted() bool { return d.admitted }

// RetryAfter returns the retry delay of a refused request.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Informed reports whether reports and a calm time are known; without them a request
// is admitted.
func (d Decision) Informed() bool { return d.slowdown > 0 }

// Load returns the reported load of the endpoints in their slots.
func (d Decision) Load() float64 { return d.load }

// Age returns the age of the last report.
func (d Decision) Age() time.Duration { return d.age }

// Slowdown returns how long requests take in durations of a calm time.
func (d Decision) Slowdown() float64 { return d.slowdown }

// InFlight returns the number of requests of this VM in flight.
func (d Decision) InFlight() int { return d.inFlight }

// Balance returns the credit for new programs, as a time at the rate that endpoints can
// take.
func (d Decision) Balance() float64 { return d.balance }

// Limit returns the number of requests in flight up to which one like this is
// admitted.
func (d Decision) Limit() float64 { return d.limit }

// Controller is a VM's state of the load of one service's endpoints. Its methods take
// the current time, so that decisions are deterministic. Callers serialise them.
type Controller struct {
	params    Params
	random    *rand.Rand
	inFlight  int
	load      decaying
	durations decaying
	completed decaying
	refused   decaying
	senders   senders
	programs  programs
	calm      float64
	calmCount int
	// excess is the cumulative sum of the loads above Params.HighLoad.
	excess     float64
	overloaded bool
}

// New returns the controller of a service without any observations, which admits all
// requests. random is used for retry delays and for decisions at a limit.
func New(params Params, random *rand.Rand) *Controller {
	return &Controller{params: params, random: random, senders: make(senders)}
}

// Report records the load that an endpoint has reported: its running and waiting
// requests and its slots.
func (c *Controller) Report(running, waiting, slots int, now time.Time) {
	if slots > 0 {
		load := float64(running+waiting) / float64(slots)
		c.load.addRecent(load, now, c.params.SignalAge, c.params.SignalSamples)
		c.excess = max(0, c.excess+load-c.params.HighLoad)
		c.programs.report(load, now, c.params.LearnAge)
	}
}

// Done records the end of an admitted request, and its duration if it was served.
func (c *Controller) Done(served bool, took time.Duration, now time.Time) {
	c.inFlight = max(0, c.inFlight-1)
	if !served {
		return
	}
	c.completed.add(1, now, c.params.FlowAge)
	c.durations.addRecent(took.Seconds(), now, c.params.SignalAge, c.params.SignalSamples)
	if load, ok := c.load.mean(); ok && load <= c.params.CalmLoad {
		c.calmCount++
		c.calm += max(calmGain, 1/float64(c.calmCount)) * (took.Seconds() - c.calm)
		c.programs.learn(now, c.params.LearnAge, c.params.FullLoadShare)
	}
}

// Senders returns the number of teams and routes that are counted.
func (c *Controller) Senders() int { return len(c.senders) }

// Admit decides whether a request may be sent, and counts it as in flight if so.
func (c *Controller) Admit(r Request, now time.Time) Decision {
	d := Decision{admitted: true, inFlight: c.inFlight, age: now.Sub(c.load.updatedAt)}
	d.load, _ = c.load.mean()
	c.update(&d)
	c.programs.refill(now, c.params)
	d.balance = c.programs.balance()
	if c.overloaded {
		d.limit = c.limit(r, now)
		within := float64(c.inFlight)+c.random.Float64() <= d.limit && (r.started || d.balance >= c.requiredBalance(r, d.load, now))
		d.admitted = within || c.random.Float64() < c.floor(r)
	}
	if d.admitted {
		c.inFlight++
		c.senders.add(r.sender, now, c.params.FlowAge)
		if !r.started {
			c.programs.start(now, c.params.LearnAge)
		}
		return d
	}
	c.refused.add(1, now, c.params.RefusedAge)
	d.retryAfter = c.retryAfter(now)
	return d
}

// target is the duration that requests should not exceed, in seconds.
func (c *Controller) target(r Request) float64 {
	return clamp(c.params.ObjectiveShare*r.objective.Seconds(), c.params.LowTarget*c.calm, c.params.HighTarget*c.calm)
}

// update starts or ends the overload. It needs reports and a known calm time: without
// them all requests are admitted.
func (c *Controller) update(d *Decision) {
	duration, ok := c.durations.mean()
	if !ok || c.calmCount < minCalm || d.age > c.params.MaxSilence {
		c.overloaded = false
		return
	}
	d.slowdown = duration / c.calm
	switch {
	case c.excess >= c.params.StartExcess && d.slowdown >= c.params.StartSlowdown:
		c.overloaded = true
	case d.load <= c.params.EndLoad:
		c.overloaded, c.excess = false, 0
	}
}

// limit is the number of requests in flight up to which one like r is admitted. At the
// rate at which requests complete, those in flight then end within the target.
func (c *Controller) limit(r Request, now time.Time) float64 {
	limit := c.completed.rate(now, c.params.FlowAge) * c.target(r)
	share := c.params.NewShare
	if r.started {
		share = c.params.StartedShare
	}
	share -= c.params.PriorityStep * r.priority
	return max(1, limit*share*c.senders.fairness(r.sender, now, c.params.FlowAge))
}

// requiredBalance is the balance of credit from which a new program is admitted.
func (c *Controller) requiredBalance(r Request, load float64, now time.Time) float64 {
	p := c.params
	unfair := 1 - c.senders.fairness(r.sender, now, p.FlowAge)
	backlog := max(0, load-1) * (p.BacklogBalance.Seconds() + r.priority*p.BacklogPriority.Seconds())
	return p.HighestBalance.Seconds() + r.priority*p.PriorityBalance.Seconds() + backlog + unfair*p.UnfairBalance.Seconds()
}

func (c *Controller) floor(r Request) float64 {
	if r.started {
		return c.params.StartedFloor
	}
	return c.params.NewFloor
}

// retryAfter is a random retry delay, around the time in which those that were refused
// can be admitted beside the others.
func (c *Controller) retryAfter(now time.Time) time.Duration {
	perSecond := max(c.programs.perSecond, 1/c.params.MaxRetryAfter.Seconds()) * c.params.SpareShare
	seconds := c.refused.count(now, c.params.RefusedAge) / perSecond
	wait := time.Duration(clamp(seconds, c.params.MinRetryAfter.Seconds(), c.params.MaxRetryAfter.Seconds()) * float64(time.Second))
	return wait/2 + time.Duration(c.random.Int64N(int64(wait)))
}
