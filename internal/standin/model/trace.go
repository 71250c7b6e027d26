package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
)

// turn is one call of a program and the pause or sub-agent after it.
type turn struct {
	prompt     int // new tokens
	completion int
	pause      float64 // seconds
	subAgent   *plan
}

// plan is the sequence of turns of a program; balancers do not see it in
// advance.
type plan struct {
	id      string
	team    int
	arrival float64
	turns   []turn
}

// work returns the engine seconds of all calls when no token is prefilled
// twice.
func (p *plan) work() float64 {
	sum := 0.0
	for _, t := range p.turns {
		sum += t.work()
		if t.subAgent != nil {
			sum += t.subAgent.work()
		}
	}
	return sum
}

func (p *plan) calls() int {
	n := len(p.turns)
	for _, t := range p.turns {
		if t.subAgent != nil {
			n += t.subAgent.calls()
		}
	}
	return n
}

func (t turn) work() float64 {
	return float64(t.prompt)/prefillPerSecond + float64(t.completion)*decodeSecondsPerToken
}

// Trace is a seeded list of programs that arrive over a duration.
type Trace struct {
	size     Size
	duration float64
	plans    []*plan
	rates    []float64 // requests a second
}

type generator struct {
	size   Size
	random *rand.Rand
	lastID int
}

// NewTrace generates programs whose work within the teams' rates is the given
// fraction of the engines' capacity; one team sends several times its usual
// rate.
func NewTrace(size Size, load, duration float64, seed uint64) Trace {
	t := generate(size, load, duration, seed)
	// Program sizes are heavy-tailed, so the generated work differs from its
	// mean.
	return t.stretch(t.Load() / load)
}

// Load returns the work that arrives within the teams' rates as a fraction of
// the engines' capacity.
func (t Trace) Load() float64 {
	sum := 0.0
	for _, p := range t.plans {
		work := p.work()
		if p.team == greedyTeam {
			work *= rateHeadroom / greedyFactor
		}
		sum += work
	}
	return sum / (float64(t.size.engines) * t.duration)
}

// stretch multiplies the duration and all arrival times by a factor and divides
// the rates by it.
func (t Trace) stretch(factor float64) Trace {
	t.duration *= factor
	for i := range t.rates {
		t.rates[i] /= factor
	}
	for _, p := range t.plans {
		p.arrival *= factor
	}
	return t
}

func generate(size Size, load, duration float64, seed uint64) Trace {
	g := &generator{size: size, random: rand.New(rand.NewPCG(seed, 1))}
	work, calls := g.means()
	arrivals := load * float64(size.engines) / work
	t := Trace{size: size, duration: duration}
	for team, share := range demandShares() {
		t.rates = append(t.rates, rateHeadroom*arrivals*share*calls)
		rate := arrivals * share
		if team == greedyTeam {
			rate *= greedyFactor
		}
		for at := g.random.ExpFloat64() / rate; at < duration; at += g.random.ExpFloat64() / rate {
			p := g.plan(team, 0)
			p.arrival = at
			t.plans = append(t.plans, p)
		}
	}
	slices.SortFunc(t.plans, func(a, b *plan) int { return int(math.Copysign(1, a.arrival-b.arrival)) })
	return t
}

// means returns the mean work and the mean number of calls of a program.
func (g *generator) means() (work, calls float64) {
	const samples = 4000
	for range samples {
		p := g.plan(0, 0)
		work += p.work()
		calls += float64(p.calls())
	}
	return work / samples, calls / samples
}

func (g *generator) plan(team, depth int) *plan {
	g.lastID++
	p := &plan{id: strconv.Itoa(g.lastID), team: team}
	long := depth == 0 && g.random.Float64() < g.size.longShare
	n := 1 + int(g.random.ExpFloat64()*g.size.shortTurns)
	if long {
		n = 1 + int(g.lognormal(g.size.longTurns, longTurnsSpread))
	}
	history := 0
	for i := range min(n, maxTurns) {
		t := g.turn(i == 0)
		history += t.prompt + t.completion
		if history > maxHistory {
			break
		}
		if long && g.random.Float64() < g.size.subAgentRate {
			t.subAgent = g.plan(team, depth+1)
		}
		p.turns = append(p.turns, t)
	}
	return p
}

func (g *generator) turn(first bool) turn {
	prompt := min(maxTurnPrompt, g.lognormal(turnPromptMedian, turnPromptSpread))
	if first {
		prompt += g.lognormal(firstPromptMedian, firstPromptSpread)
	}
	return turn{
		prompt:     1 + int(prompt),
		completion: 1 + int(min(maxCompletion, g.lognormal(completionMedian, completionSpread))),
		pause:      min(maxPause, g.lognormal(pauseMedian, pauseSpread)),
	}
}

func (g *generator) lognormal(median, spread float64) float64 {
	return median * math.Exp(spread*g.random.NormFloat64())
}
