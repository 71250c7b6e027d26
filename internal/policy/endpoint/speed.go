package endpoint

import (
	"math"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// minSpeed and maxSpeed bound the learnt speed of an endpoint, so that an
	// outlier neither attracts all requests nor excludes an endpoint.
	minSpeed = 0.4
	maxSpeed = 2.5
	// minPace and maxPace bound a reported pace.
	minPace = 0.4
	maxPace = 4.0
	// speedPrior is the weight, in samples, of the assumption that an endpoint is
	// as fast as the mean one.
	speedPrior = 2.0
	// speedRetention is the fraction of the weight of earlier samples that each
	// further sample leaves: about the last 20 samples count.
	speedRetention = 0.95
	// speedHalfLife is the age at which samples have half their weight. Speeds
	// follow from hardware and change rarely, and a VM among 340 sends an endpoint
	// one request in minutes.
	speedHalfLife = 5 * time.Minute
	// maxSampleRatio bounds the effect of one sample on the speed.
	maxSampleRatio = 4.0
	// crowdedShare is the fraction of used slots from which an endpoint counts as
	// crowded, and crowdedCost the cost of each further fraction, in mean durations of
	// a request. The load that VMs know is late: with the time to wait behind known
	// requests alone, they fill the fast endpoints beyond their slots.
	crowdedShare = 0.8
	crowdedCost  = 4.0
	// othersPrior is the weight, in reports, of the mean load of all endpoints in an
	// endpoint's usual load, and othersRetention the fraction of the weight of earlier
	// reports that each further one leaves.
	othersPrior     = 1.0
	othersRetention = 0.9
	// workRetention is speedRetention for the work model, which has the samples of
	// all endpoints.
	workRetention = 0.995
	// workRidge is the variance of the generated tokens, in squared tokens, below
	// which the time per token is not determined.
	workRidge = 1.0
)

// Sample is a served request, from which the speed of its endpoint is learnt.
type Sample struct {
	generated int
	pace      float64
	took      time.Duration
}

// NewSample returns the sample of a request with the number of tokens that were
// generated, the pace that the endpoint reported with the response, and the
// duration.
func NewSample(generated int, pace float64, took time.Duration) Sample {
	return Sample{generated: generated, pace: pace, took: took}
}

// speed estimates the factor by which requests take longer at an endpoint than at
// the mean one, apart from its pace. Samples are averaged by their logarithm, so
// that a ratio and its inverse cancel out.
type speed struct {
	sum       float64
	weight    float64
	updatedAt time.Time
}

// value is the estimate, which returns to 1 as the samples age.
func (v *speed) value(now time.Time) float64 {
	if v.weight == 0 {
		return 1
	}
	decay := v.decay(now)
	return clamp(math.Exp(v.sum*decay/(v.weight*decay+speedPrior)), minSpeed, maxSpeed)
}

func (v *speed) decay(now time.Time) float64 {
	return math.Exp2(-max(0, now.Sub(v.updatedAt).Seconds()) / speedHalfLife.Seconds())
}

// add adds the ratio of a request's duration to that at the mean endpoint.
func (v *speed) add(ratio float64, now time.Time) {
	keep := speedRetention * v.decay(now)
	v.sum = v.sum*keep + math.Log(clamp(ratio, 1/maxSampleRatio, maxSampleRatio))
	v.weight = v.weight*keep + 1
	v.updatedAt = now
}

// workModel is a decaying linear fit of the time that a request takes at the mean
// endpoint, without its prefill, to the number of generated tokens.
type workModel struct {
	weight, tokens, seconds, tokens2, product float64
}

// add adds a request of a number of generated tokens.
func (m *workModel) add(tokens, seconds float64) {
	m.weight = m.weight*workRetention + 1
	m.tokens = m.tokens*workRetention + tokens
	m.seconds = m.seconds*workRetention + seconds
	m.tokens2 = m.tokens2*workRetention + tokens*tokens
	m.product = m.product*workRetention + tokens*seconds
}

// mean is the mean time of a request in seconds.
func (m *workModel) mean() float64 { return m.seconds / m.weight }

// expected is the time of a request of a number of generated tokens in seconds.
func (m *workModel) expected(tokens float64) float64 {
	meanTokens := m.tokens / m.weight
	variance := m.tokens2/m.weight - meanTokens*meanTokens
	covariance := m.product/m.weight - meanTokens*m.mean()
	perToken := max(0, covariance/(max(0, variance)+workRidge))
	if meanTokens > 0 {
		perToken = min(perToken, m.mean()/meanTokens)
	}
	return m.mean() + perToken*(tokens-meanTokens)
}

// Learn records a request that an endpoint has served and whose response reported
// a pace. It is called before Done and Cached, which change the load and the hints
// that the request was sent with.
func (t *Table) Learn(name string, q hawthornrail.PickQuery, sample Sample, now time.Time) {
	s, ok := t.states[name]
	if !ok || sample.pace <= 0 || sample.took <= 0 {
		return
	}
	tokens := float64(sample.generated)
	normal := sample.took.Seconds() / clamp(sample.pace, minPace, maxPace) / t.crowding(s, now)
	prefill := t.prefillSeconds(s, q, now)
	// Durations count in the model as at an endpoint of speed 1.
	seconds := max(0, normal/s.speed.value(now)-prefill)
	if t.work.weight > 0 {
		if expected := prefill + t.work.expected(tokens); expected > 0 {
			s.speed.add(normal/expected, now)
		}
	}
	t.work.add(tokens, seconds)
}

// crowding is the factor by which the other requests at an endpoint lengthen one
// that is served there.
func (t *Table) crowding(s *endpointState, now time.Time) float64 {
	others := max(0, t.load(s, now)-1)
	factor := 1 + t.params.BatchCost*min(1, others/float64(s.slots))
	if excess := others + 1 - float64(s.slots); excess > 0 {
		factor += excess / float64(s.slots)
	}
	return factor
}

// congestion is the delay that one more request at an endpoint has and causes for
// others, in mean durations of a request.
func (t *Table) congestion(s *endpointState, now time.Time) float64 {
	used := (t.pacedLoad(s, now) + 1) / float64(s.slots)
	return 2*t.params.BatchCost*min(1, used) + crowdedCost*max(0, used-crowdedShare)
}

// pacedLoad is load for endpoints that report their pace. Instead of the mean load of
// all, a late report gives way to the endpoint's own usual load, since a fast endpoint
// has more than a slow one.
func (t *Table) pacedLoad(s *endpointState, now time.Time) float64 {
	if t.reporting == 0 {
		return t.load(s, now)
	}
	mean := float64(t.otherRequests) / float64(t.reporting)
	usual := s.others.mean(mean)
	c := s.confidence(now, t.params.PacedReportHalfLife)
	return float64(s.inFlight) + c*float64(s.otherRequests()) + (1-c)*usual
}

// usualLoad is the mean number of other VMs' requests in the reports of an endpoint.
type usualLoad struct {
	sum    float64
	weight float64
}

func (u *usualLoad) add(requests int) {
	u.sum = u.sum*othersRetention + float64(requests)
	u.weight = u.weight*othersRetention + 1
}

// mean is the mean of the reports and of the mean at all endpoints.
func (u *usualLoad) mean(atAll float64) float64 {
	return (u.sum + othersPrior*atAll) / (u.weight + othersPrior)
}

// prefillSeconds is the time to prefill the uncached tokens of a prompt at the mean
// endpoint, or 0 at an endpoint that is no engine.
func (t *Table) prefillSeconds(s *endpointState, q hawthornrail.PickQuery, now time.Time) float64 {
	if s.endpoint.Kind() != hawthornrail.EngineEndpoint {
		return 0
	}
	return t.uncachedTokens(s, q, now) / t.params.PrefillPerSecond
}

// uncachedTokens is the expected number of tokens of a prompt that the endpoint has to
// prefill.
func (t *Table) uncachedTokens(s *endpointState, q hawthornrail.PickQuery, now time.Time) float64 {
	cached := max(t.cachedTokens(s, q, now), t.cachedPartTokens(s, q, now))
	return max(0, float64(q.PromptTokens())-cached)
}

// slowness is the factor by which work takes longer at an endpoint now than at the
// mean one: its speed times its pace. The weight of a reported pace falls with its
// age, to one half at Params.PaceHalfLife.
func (t *Table) slowness(s *endpointState, now time.Time) float64 {
	slowness := s.speed.value(now)
	if s.report.pace > 0 {
		age := max(0, now.Sub(s.reportedAt).Seconds())
		pace := clamp(s.report.pace, minPace, maxPace)
		slowness *= 1 + (pace-1)*math.Exp2(-age/t.params.PaceHalfLife.Seconds())
	}
	return slowness
}

// pacedCost is cost for endpoints of which some report their pace. They differ in
// speed, so the request's own duration counts too.
func (t *Table) pacedCost(s *endpointState, q hawthornrail.PickQuery, now time.Time) float64 {
	service := t.expectedServiceTime(s)
	if t.work.weight > 0 {
		service = t.work.mean()
	}
	cost := service * (1 + t.congestion(s, now))
	if s.endpoint.Kind() == hawthornrail.EngineEndpoint {
		uncached := t.uncachedTokens(s, q, now)
		cost += uncached / t.params.PrefillPerSecond * t.params.PrefillFactor
		cost += t.evictionCost(s, uncached)
	}
	return t.addConnectionCost(cost*t.slowness(s, now), s)
}

func clamp(v, lowest, highest float64) float64 { return min(max(v, lowest), highest) }

// Estimate is what a table assumes about an endpoint that reports its pace.
type Estimate struct {
	speed float64
	pace  float64
	age   time.Duration
	load  float64
}

// Speed returns the learnt factor by which requests take longer at the endpoint than
// at the mean one.
func (e Estimate) Speed() float64 { return e.speed }

// Pace returns the reported pace.
func (e Estimate) Pace() float64 { return e.pace }

// Age returns the age of the report.
func (e Estimate) Age() time.Duration { return e.age }

// Load returns the estimated number of requests at the endpoint.
func (e Estimate) Load() float64 { return e.load }

// Estimate returns what a choice of an endpoint was based on; ok is false if it
// reports no pace.
func (t *Table) Estimate(name string, now time.Time) (estimate Estimate, ok bool) {
	s, ok := t.states[name]
	if !ok || s.report.pace <= 0 {
		return Estimate{}, false
	}
	return Estimate{speed: s.speed.value(now), pace: s.report.pace, age: now.Sub(s.reportedAt), load: t.pacedLoad(s, now)}, true
}
