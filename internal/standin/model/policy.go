package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
	"hawthornrail.example/hawthornrail/internal/policy/fair"
)

// Policy is a balancing policy that the model can run.
type Policy struct {
	name  string
	build func(Size) balancer
}

// Name returns the policy's name.
func (p Policy) Name() string { return p.name }

// Baselines returns the baseline balancers.
func Baselines() []Policy {
	return []Policy{
		{"round_robin", func(s Size) balancer { return newBaseline(s, false, roundRobin) }},
		{"least_requests", func(s Size) balancer { return newBaseline(s, false, leastRequests) }},
		{"fifo", func(s Size) balancer { return newBaseline(s, true, firstInFirstOut) }},
		{"consistent_hash", func(s Size) balancer { return newBaseline(s, false, consistentHash) }},
	}
}

// Scheduler returns the project's policy with the given parameters.
func Scheduler(limits fair.Limits, params endpoint.Params) Policy {
	return Policy{"hawthornrail", func(s Size) balancer { return newScheduler(s, limits, params) }}
}

// scheduler runs the project's scheduling decisions separately for each VM.
type scheduler struct {
	vms []*vmState
}

type vmState struct {
	order    *fair.Scheduler
	table    *endpoint.Table
	calls    map[*fair.Waiter]*call
	items    map[*call]*fair.Waiter
	inFlight int
}

const modelName = "model"

func newScheduler(size Size, limits fair.Limits, params endpoint.Params) *scheduler {
	s := &scheduler{}
	for vm := range size.vms {
		random := rand.New(rand.NewPCG(uint64(vm), 5))
		v := &vmState{
			order: fair.NewScheduler(limits, random),
			table: endpoint.NewTable(params, zoneName(vm, size), random),
			calls: make(map[*fair.Waiter]*call),
			items: make(map[*call]*fair.Waiter),
		}
		v.table.SetSenders(size.vms)
		v.table.Set(newEndpoints(size))
		s.vms = append(s.vms, v)
	}
	return s
}

func newEndpoints(size Size) []hawthornrail.Endpoint {
	var endpoints []hawthornrail.Endpoint
	for i := range size.engines {
		e := hawthornrail.NewEndpoint(engineName(i), hawthornrail.EngineEndpoint, zoneName(i, size), "", []string{modelName})
		endpoints = append(endpoints, e.WithSlots(engineSlots))
	}
	return endpoints
}

func engineName(index int) string { return fmt.Sprintf("e%03d", index) }

func zoneName(index int, size Size) string { return fmt.Sprintf("dc%d", index%size.dataCentres) }

func virtualTime(now float64) time.Time {
	return time.Unix(1_700_000_000, 0).Add(time.Duration(now * float64(time.Second)))
}

func (s *scheduler) enqueue(c *call, now float64) (float64, bool) {
	v, r := s.vms[c.run.vm], c.run
	cost := float64(c.turn().prompt) + decodeCost(int(completionMedian))
	t := hawthornrail.NewTicket(fmt.Sprintf("team%d", r.plan.team), teamWeight(r.plan.team), r.plan.id, r.attained, cost).
		WithTarget(hawthornrail.EngineEndpoint, modelName).WithProgramStart(virtualTime(r.start)).WithNewProgram(c.turnIndex == 0)
	item, retryAfter, ok := v.order.Add(t, virtualTime(now))
	if !ok {
		return retryAfter.Seconds(), false
	}
	v.items[c], v.calls[item] = item, c
	return 0, true
}

func teamWeight(team int) float64 { return demandShares()[team] }

func (s *scheduler) next(vm int, now float64) (*call, int, bool) {
	v := s.vms[vm]
	a := v.table.Allowance()
	if v.inFlight >= a.Requests() {
		return nil, 0, false
	}
	item, ok := v.order.Next(a.Fresh())
	if !ok {
		return nil, 0, false
	}
	c := v.calls[item]
	delete(v.calls, item)
	e, ok := v.table.Choose(query(c), virtualTime(now))
	if !ok {
		return nil, 0, false
	}
	v.inFlight++
	var index int
	_, _ = fmt.Sscanf(e.Name(), "e%d", &index)
	return c, index, true
}

func query(c *call) hawthornrail.PickQuery {
	return hawthornrail.NewPickQuery(hawthornrail.EngineEndpoint, modelName, c.run.plan.id, c.prompt())
}

func (s *scheduler) done(j *job, engine int, ok bool, now float64) {
	v, c, name := s.vms[j.vm], j.call, engineName(engine)
	v.inFlight--
	item := v.items[c]
	delete(v.items, c)
	latency := time.Duration((now - j.sentAt) * float64(time.Second))
	if !ok {
		v.order.Complete(item, 0, virtualTime(now))
		v.table.Done(name, endpoint.Failed, latency, virtualTime(now))
		v.table.Forget(c.run.plan.id)
		return
	}
	v.order.Complete(item, float64(j.uncached)+decodeCost(c.turn().completion), virtualTime(now))
	v.table.Done(name, endpoint.Served, latency, virtualTime(now))
	v.table.Cached(c.run.plan.id, name, c.prompt()+c.turn().completion, virtualTime(now))
}

func (s *scheduler) report(vm, engine int, r loadReport, now float64) {
	s.vms[vm].table.Report(engineName(engine), endpoint.NewReport(r.waiting, r.running, r.cached, cacheTokens), virtualTime(now))
}

func (s *scheduler) unresponsive(vm, engine int, now float64) {
	s.vms[vm].table.MarkUnresponsive(engineName(engine), virtualTime(now))
}

func (s *scheduler) evicted(vm, engine int, program string, at float64) {
	s.vms[vm].table.Evicted(program, engineName(engine), virtualTime(at))
}

func (s *scheduler) ended(r *run) bool {
	s.vms[r.vm].table.Forget(r.plan.id)
	return true
}

func (s *scheduler) unhealthy(int) {}
