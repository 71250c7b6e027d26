package overload

import "time"

// Params are the parameters of a Controller.
type Params struct {
	// HighLoad is the load of an endpoint, in its slots, above which a report counts for
	// overload, and StartExcess the sum of loads above HighLoad, less those below, from
	// which a VM refuses requests. EndLoad is the mean load below which it no longer
	// does.
	HighLoad    float64
	StartExcess float64
	EndLoad     float64
	// CalmLoad is the load up to which durations count as those of a calm time.
	CalmLoad float64
	// LowTarget and HighTarget bound the duration of requests that a VM aims at during
	// overload, in durations of a calm time. Below LowTarget endpoints would idle.
	LowTarget  float64
	HighTarget float64
	// ObjectiveShare is the fraction of a route's objective that is aimed at within
	// these bounds.
	ObjectiveShare float64
	// StartSlowdown is the duration of requests from which a VM refuses any, in
	// durations of a calm time.
	StartSlowdown float64
	// FullLoadShare is the fraction of the rate of new programs, extrapolated from calm
	// times to full slots, that endpoints can take. Full batches are slower, and the
	// backlog that arises before an overload is noticed takes work too.
	FullLoadShare float64
	// MaxCredit bounds the credit for new programs, and MaxDebt that which they have had
	// in advance, as a time at the rate of new programs that endpoints can take.
	MaxCredit time.Duration
	MaxDebt   time.Duration
	// HighestBalance is the balance of credit, as such a time, from which new programs
	// of the highest priority are admitted, and PriorityBalance what each level of
	// priority adds. UnfairBalance is what a sender with a large part adds.
	HighestBalance  time.Duration
	PriorityBalance time.Duration
	UnfairBalance   time.Duration
	// BacklogBalance is what a load of as many requests as slots, above one, adds for
	// the highest priority, and BacklogPriority what each level of priority adds to it.
	BacklogBalance  time.Duration
	BacklogPriority time.Duration
	// StartedShare and NewShare are the requests of started and of new programs that
	// may be in flight, in those that endpoints complete within the target.
	StartedShare float64
	NewShare     float64
	// PriorityStep is how much each level of priority lowers these shares.
	PriorityStep float64
	// StartedFloor and NewFloor are the fractions of requests that are admitted in any
	// case, so that no team, route or program is starved.
	StartedFloor float64
	NewFloor     float64
	// SignalAge is the time constant of the means of loads and durations, and FlowAge
	// that of rates.
	SignalAge time.Duration
	// SignalSamples is the number of the last samples that count in these means. Single
	// endpoints are often crowded while all together are not.
	SignalSamples float64
	FlowAge       time.Duration
	// LearnAge is the time constant of what the rate of new programs is learnt from.
	LearnAge time.Duration
	// RefusedAge is the time constant of the number of refused requests, which come
	// back, and SpareShare the fraction of the endpoints' work that is left for them.
	RefusedAge time.Duration
	SpareShare float64
	// MaxSilence is how long after the last report requests may be refused.
	MaxSilence time.Duration
	// MinRetryAfter and MaxRetryAfter bound the middle of the random retry delay.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultParams returns the parameters of the process.
func DefaultParams() Params {
	return Params{
		HighLoad: 1.5, StartExcess: 5, EndLoad: 1.1, CalmLoad: 0.9, LowTarget: 1.5, HighTarget: 3, ObjectiveShare: 0.5, StartSlowdown: 1.4,
		FullLoadShare: 0.6, MaxCredit: time.Second, MaxDebt: 4 * time.Second, LearnAge: 15 * time.Second,
		HighestBalance: -time.Second, PriorityBalance: 100 * time.Millisecond, UnfairBalance: time.Second,
		BacklogBalance: 2 * time.Second, BacklogPriority: 650 * time.Millisecond, StartedShare: 2.5, NewShare: 1.5, PriorityStep: 0.05, StartedFloor: 0.1, NewFloor: 0.02,
		SignalAge: time.Second, SignalSamples: 20, FlowAge: 500 * time.Millisecond, MaxSilence: time.Second,
		MinRetryAfter: 300 * time.Millisecond, MaxRetryAfter: 8 * time.Second,
		RefusedAge: 3 * time.Second, SpareShare: 0.25,
	}
}

const (
	// calmGain is the weight of a request in the duration of a calm time, and
	// minCalm the number of requests from which that is known.
	calmGain = 0.02
	minCalm  = 20
	// lowestPriority is the number of the lowest priority; 0 is the highest.
	lowestPriority = 9
	// teamWeight is the weight of the team's priority against that of the route.
	teamWeight = 0.7
	// maxSenders is the maximum number of teams and routes that are counted; others
	// count together.
	maxSenders = 1024
	// minFairness and maxFairness bound the factor by which the share of a team and
	// route changes with its part of the requests.
	minFairness = 0.5
	maxFairness = 1.2
	// minCount is the decayed number of requests below which a sender is forgotten.
	minCount = 0.1
)
