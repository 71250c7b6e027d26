package endpoint

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// candidate is an endpoint with the expected cost of choosing it in seconds.
type candidate struct {
	state *endpointState
	cost  float64
}

// Choose returns an endpoint with nearly the lowest expected cost among a random
// sample and those that probably cache the program's prompt or its first parts, and counts the
// request as sent.
func (t *Table) Choose(q hawthornrail.PickQuery, now time.Time) (hawthornrail.Endpoint, bool) {
	var buffer [2*32 + 1 + maxPartEndpoints]candidate
	candidates := t.candidates(buffer[:0], q, now)
	if len(candidates) == 0 {
		s := t.earliestRetry(q, now)
		if s == nil {
			return hawthornrail.Endpoint{}, false
		}
		t.recordSent(s, q, now)
		return s.endpoint, true
	}
	s := t.pickNearBest(candidates)
	t.recordSent(s, q, now)
	return s.endpoint, true
}

// earliestRetry returns the failed endpoint with the earliest retry time if
// Params.RetryFailedEarly is set: when all endpoints have failed, an early retry
// is better than a refusal.
func (t *Table) earliestRetry(q hawthornrail.PickQuery, now time.Time) *endpointState {
	if !t.params.RetryFailedEarly {
		return nil
	}
	var best *endpointState
	for _, list := range [][]*endpointState{t.local, t.remote} {
		for _, s := range list {
			if !admits(s, q) || s.unresponsive || s.limit.exhausted(t.timeSlots, now) {
				continue
			}
			if best == nil || s.retryAt.Before(best.retryAt) {
				best = s
			}
		}
	}
	return best
}

func (t *Table) recordSent(s *endpointState, q hawthornrail.PickQuery, now time.Time) {
	s.limit.use(t.timeSlots, now)
	s.inFlight++
	s.connections = max(s.connections, s.inFlight)
	t.inFlight++
	s.probing = s.failures > 0
	if h, ok := t.hints[q.Program()]; ok && h.endpoint == s.endpoint.Name() {
		return
	}
	// Other VMs are assumed to start as many programs as this one.
	t.addToSums(s, -1)
	s.tokensSinceReport += q.PromptTokens() * t.senders
	t.addToSums(s, 1)
}

func (t *Table) candidates(list []candidate, q hawthornrail.PickQuery, now time.Time) []candidate {
	if h, ok := t.hints[q.Program()]; ok {
		if s, ok := t.states[h.endpoint]; ok && t.eligible(s, q, now) {
			list = append(list, candidate{state: s, cost: t.cost(s, q, now)})
		}
	}
	if t.paced > 0 {
		list = t.appendPartHolders(list, q, now)
	}
	list = t.appendSample(list, t.local, q, now)
	return t.appendSample(list, t.remote, q, now)
}

// appendSample appends eligible endpoints from a random sample, or from all if
// there are at most Params.SampleSize. If no sampled endpoint is eligible, it
// appends the first eligible one from a random start.
func (t *Table) appendSample(list []candidate, states []*endpointState, q hawthornrail.PickQuery, now time.Time) []candidate {
	n, initial := len(states), len(list)
	for i := range min(n, t.params.SampleSize) {
		if n > t.params.SampleSize {
			i = t.random.IntN(n)
		}
		if s := states[i]; t.eligible(s, q, now) {
			list = append(list, candidate{state: s, cost: t.cost(s, q, now)})
		}
	}
	if len(list) > initial || n <= t.params.SampleSize {
		return list
	}
	start := t.random.IntN(n)
	for i := range n {
		if s := states[(start+i)%n]; t.eligible(s, q, now) {
			return append(list, candidate{state: s, cost: t.cost(s, q, now)})
		}
	}
	return list
}

// pickNearBest returns a random candidate among those whose cost is within
// Params.NearEqual of the lowest, or Params.PacedNearShare if endpoints report their
// pace, so that VMs with the same reports do not all choose the same endpoint.
func (t *Table) pickNearBest(candidates []candidate) *endpointState {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.cost < best.cost {
			best = c
		}
	}
	nearEqual := t.params.NearEqual.Seconds()
	if t.paced > 0 {
		nearEqual = max(nearEqual, t.params.PacedNearShare*best.cost)
	}
	chosen, near := best.state, 0
	for _, c := range candidates {
		if c.cost > best.cost+nearEqual {
			continue
		}
		near++
		if t.random.IntN(near) == 0 {
			chosen = c.state
		}
	}
	return chosen
}

// cost is the expected time to the first token plus the delay that the request
// causes for others, in seconds.
func (t *Table) cost(s *endpointState, q hawthornrail.PickQuery, now time.Time) float64 {
	if t.paced > 0 {
		return t.pacedCost(s, q, now)
	}
	load := t.load(s, now)
	service := t.expectedServiceTime(s)
	cost := t.params.BatchCost * service * min(1, load/float64(s.slots))
	if excess := load + 1 - float64(s.slots); excess > 0 {
		cost += excess * service / float64(s.slots)
	}
	if s.endpoint.Kind() == hawthornrail.EngineEndpoint {
		uncached := float64(q.PromptTokens()) - t.cachedTokens(s, q, now)
		cost += max(0, uncached) / t.params.PrefillPerSecond * t.params.PrefillFactor
		cost += t.evictionCost(s, uncached)
	}
	return t.addConnectionCost(cost, s)
}

// addConnectionCost adds the cost of the way to an endpoint to a cost in seconds.
func (t *Table) addConnectionCost(cost float64, s *endpointState) float64 {
	if s.endpoint.DataCentre() != t.dataCentre {
		cost += t.params.RemoteCost.Seconds()
	}
	if s.inFlight >= s.connections {
		cost += t.params.ConnectCost.Seconds()
	}
	return cost
}

// evictionCost is the cost for other programs of prefilling again the tokens that
// this request evicts from the cache.
func (t *Table) evictionCost(s *endpointState, tokens float64) float64 {
	evicted := tokens - float64(s.freeCacheTokens(1))
	if evicted <= 0 || tokens <= 0 {
		return 0
	}
	return min(evicted, tokens) / t.params.PrefillPerSecond * t.params.PrefillFactor
}

// load estimates the number of requests at an endpoint: this VM's own plus those
// of other VMs. The latter are interpolated between the endpoint's last report
// and the mean of all endpoints, by the confidence in the report.
func (t *Table) load(s *endpointState, now time.Time) float64 {
	if t.reporting == 0 {
		return float64(s.inFlight) * float64(t.senders)
	}
	c := s.confidence(now, t.params.ReportHalfLife)
	mean := float64(t.otherRequests) / float64(t.reporting)
	if perSecond := s.limit.current(now); perSecond > 0 {
		// Others send no more than the limit either.
		mean = min(mean, perSecond*t.expectedServiceTime(s))
	}
	return float64(s.inFlight) + c*float64(s.otherRequests()) + (1-c)*mean
}

// expectedServiceTime is the mean duration of a request at all endpoints, or at
// this endpoint if that is longer, in seconds.
func (t *Table) expectedServiceTime(s *endpointState) float64 {
	if !t.serviceTime.set {
		return assumedService
	}
	if s.serviceTime.set {
		return max(s.serviceTime.value, t.serviceTime.value)
	}
	return t.serviceTime.value
}

// cachedTokens is the expected number of prompt tokens in the endpoint's cache.
// The weight of a hint falls with its age, to one half at Params.HintHalfLife.
func (t *Table) cachedTokens(s *endpointState, q hawthornrail.PickQuery, now time.Time) float64 {
	h, ok := t.hints[q.Program()]
	if !ok || h.endpoint != s.endpoint.Name() {
		return 0
	}
	return t.hintWeight(h.updatedAt, now) * float64(min(h.tokens, q.PromptTokens()))
}

func (t *Table) hintWeight(updatedAt, now time.Time) float64 {
	return 1 / (1 + now.Sub(updatedAt).Seconds()/t.params.HintHalfLife.Seconds())
}
