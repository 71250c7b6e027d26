package rate_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/team/rate"
	"hawthornrail.example/hawthornrail/internal/team/share"
)

const (
	tickInterval  = 50 * time.Millisecond
	borrowTimeout = 25 * time.Millisecond
	levelWait     = 12 * time.Millisecond
	retryInterval = 40 * time.Millisecond
	// inForceWithin is the target for accepted configuration to be in force
	// everywhere.
	inForceWithin = 10 * time.Second
	// propagationTime is how long a change takes to reach every VM if there is
	// no network partition.
	propagationTime = 3 * time.Second
	maxClockDrift   = 0.01
)

var origin = time.Unix(1_000_000, 0)

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// config is an accepted version of the deployment and the VM list.
type config struct {
	accepted time.Duration
	rate     float64
	burst    float64
	vms      []hawthornrail.VM
}

func (c config) plan() share.Plan {
	return share.NewPlan(hawthornrail.NewDeployment("counter", "cordillera", 1).WithRate(c.rate, c.burst), c.vms)
}

// machine is a VM that runs one process at a time.
type machine struct {
	vm         hawthornrail.VM
	instance   hawthornrail.Instance
	account    *rate.Account
	alive      bool
	frozen     bool
	draining   bool
	clockSpeed float64
	version    int
	lastUsedAt map[int]time.Duration
	seen       map[int]bool
	backlog    []func()
	waiting    []*request
	retryAt    time.Duration
}

type request struct {
	deadline time.Duration
	done     bool
}

// simulation runs machines, messages and requests in virtual time.
type simulation struct {
	rng         *rand.Rand
	now         time.Duration
	queue       events
	order       int
	machines    []*machine
	configs     []config
	partitioned map[string]bool
	// maxWait is how long a request waits for a token.
	maxWait        time.Duration
	delay          time.Duration
	loss           float64
	duplication    float64
	clockDrift     float64
	oracle         oracle
	admitted       int
	refused        int
	messages       int
	borrowRequests int
	retryTimes     []time.Duration
	mutation       mutation
	// strict also applies the limit where the simulation would otherwise allow
	// for a replaced version that no holder knows of; see changeForgotten.
	strict      bool
	forgottenAt time.Duration
}

// mutation is a faulty rule that the oracle must detect.
type mutation string

const (
	startsFull     mutation = "a restarted holder starts with a full bucket"
	lendsTwice     mutation = "a holder reuses tokens that it has lent"
	usesUnreleased mutation = "a share is used before others have released it"
)

// oracle is one token bucket for the whole fleet, which every admission must
// fit into.
type oracle struct {
	tokens    float64
	updatedAt time.Duration
	violation string
}

func newSimulation(seed uint64, rps, burst float64, vms []hawthornrail.VM) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), partitioned: make(map[string]bool), maxWait: borrowTimeout, delay: 4 * time.Millisecond}
	sim.configs = []config{{rate: rps, burst: burst, vms: vms}}
	sim.oracle.tokens = burst
	for _, v := range vms {
		sim.machines = append(sim.machines, &machine{vm: v, lastUsedAt: make(map[int]time.Duration)})
	}
	return sim
}

func newVMs(count, centres int) []hawthornrail.VM {
	var vms []hawthornrail.VM
	for i := range count {
		dc := fmt.Sprintf("dc%d", i%centres)
		vms = append(vms, hawthornrail.NewVM(fmt.Sprintf("vm%d", i), dc, "", false))
	}
	return vms
}

func (sim *simulation) schedule(t time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.queue, event{at: max(t, sim.now), order: sim.order, run: run})
}

func (sim *simulation) runUntil(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = until
}

func (sim *simulation) clock(m *machine) time.Time {
	return origin.Add(time.Duration(float64(sim.now) * m.clockSpeed))
}

func (sim *simulation) start(m *machine) {
	if m.alive || m.draining {
		return
	}
	m.alive, m.frozen, m.backlog, m.waiting = true, false, nil, nil
	m.clockSpeed = 1 + sim.clockDrift*(2*sim.rng.Float64()-1)
	m.instance = hawthornrail.NewInstance(m.vm.Name(), m.vm.DataCentre(), m.instance.Incarnation()+1)
	m.account, m.version, m.seen = nil, -1, make(map[int]bool)
	sim.fetchConfig(m)
	sim.tick(m, m.instance)
}

// drain ends a process as a graceful shutdown does.
func (sim *simulation) drain(m *machine) {
	if !m.alive || m.frozen || m.account == nil {
		return
	}
	m.draining = true
	sim.schedule(sim.now+share.GrantReserveTime*101/100, func() {
		if !m.alive || m.frozen {
			return
		}
		for _, other := range sim.machines {
			sim.send(m, other, func() { other.account.SetStopped(m.vm.Name(), true, sim.clock(other)) })
		}
		sim.kill(m)
	})
}

func (sim *simulation) kill(m *machine) { m.alive = false }

func (sim *simulation) freeze(m *machine, frozen bool) {
	if !m.alive || m.frozen == frozen {
		return
	}
	m.frozen = frozen
	backlog := m.backlog
	m.backlog = nil
	for _, run := range backlog {
		run()
	}
}

// deliver runs a received message at a machine's process, or queues it until a
// frozen process resumes.
func (sim *simulation) deliver(m *machine, run func()) {
	switch {
	case !m.alive:
	case m.frozen:
		instance := m.instance
		m.backlog = append(m.backlog, func() {
			if m.instance == instance && m.account != nil {
				run()
			}
		})
	case m.account != nil:
		run()
	}
}

// fetchConfig applies the newest configuration from the platform, or from the
// machines of the same data centre if that is partitioned.
func (sim *simulation) fetchConfig(m *machine) {
	version := len(sim.configs) - 1
	if sim.partitioned[m.vm.DataCentre()] {
		version = m.version
		for _, other := range sim.machines {
			if other.alive && !other.frozen && other.vm.DataCentre() == m.vm.DataCentre() {
				version = max(version, other.version)
			}
		}
	}
	if version > m.version {
		sim.applyVersion(m, version)
	}
}

func (sim *simulation) applyVersion(m *machine, version int) {
	now := sim.clock(m)
	if m.account == nil {
		if sim.mutation == startsFull {
			now = now.Add(-time.Hour)
		}
		m.account = rate.NewAccount(m.instance, now, now)
	}
	if m.version >= 0 {
		m.lastUsedAt[m.version] = sim.now
	}
	m.version = version
	m.lastUsedAt[version] = sim.now
	m.seen[version] = true
	m.account.ApplyPlan(sim.configs[version].plan(), now)
	if sim.mutation == usesUnreleased || sim.mutation == startsFull {
		sim.confirmAll(m, now)
	}
}

func (sim *simulation) confirmAll(m *machine, now time.Time) {
	state, epoch := m.account.State(now)
	for _, v := range sim.machines {
		reply := share.NewState(v.vm.Name(), state.PlanFingerprint(), share.Share{}, true, nil)
		m.account.HandleStateReply(epoch, reply, now)
	}
}

// acceptConfig adds a version, which reaches every connected VM within
// propagationTime.
func (sim *simulation) acceptConfig(c config) {
	sim.advanceOracle()
	c.accepted = sim.now
	sim.configs = append(sim.configs, c)
	for _, m := range sim.machines {
		sim.schedule(sim.now+time.Duration(sim.rng.Int64N(int64(propagationTime))), func() {
			sim.deliver(m, func() { sim.fetchConfig(m) })
		})
	}
}

func (sim *simulation) tick(m *machine, instance hawthornrail.Instance) {
	if !m.alive || m.instance != instance {
		return
	}
	sim.schedule(sim.now+tickInterval, func() { sim.tick(m, instance) })
	if m.frozen {
		return
	}
	if sim.rng.IntN(20) == 0 || m.account == nil {
		sim.fetchConfig(m)
	}
	if m.account == nil {
		return
	}
	now := sim.clock(m)
	sim.sendBorrowRequests(m, m.account.ReturnUnused(now))
	for _, vm := range m.account.DueStateQueries(now) {
		sim.sendStateQuery(m, vm)
	}
}

func (sim *simulation) machine(name string) *machine {
	for _, m := range sim.machines {
		if m.vm.Name() == name {
			return m
		}
	}
	return nil
}

// send carries a message, which may be lost, duplicated or delayed.
func (sim *simulation) send(from, to *machine, run func()) {
	sim.messages++
	copies := 1
	if sim.rng.Float64() < sim.duplication {
		copies = 2
	}
	for range copies {
		if sim.rng.Float64() < sim.loss {
			continue
		}
		delay := sim.delay
		if from.vm.DataCentre() == to.vm.DataCentre() {
			delay /= 10
		}
		delay += time.Duration(sim.rng.Int64N(int64(delay)/4 + 1))
		if sim.loss > 0 && sim.rng.IntN(20) == 0 {
			delay += time.Duration(sim.rng.Int64N(int64(2 * time.Second)))
		}
		sim.schedule(sim.now+delay, func() {
			if !sim.separated(from, to) {
				sim.deliver(to, run)
			}
		})
	}
}

// separated reports whether a network partition lies between two machines.
func (sim *simulation) separated(x, y *machine) bool {
	return x.vm.DataCentre() != y.vm.DataCentre() && (sim.partitioned[x.vm.DataCentre()] || sim.partitioned[y.vm.DataCentre()])
}

func (sim *simulation) sendBorrowRequests(m *machine, requests []rate.BorrowRequest) {
	for _, r := range requests {
		sim.borrowRequests++
		from, holder := m.instance, sim.machine(r.Holder())
		sim.send(m, holder, func() {
			if holder.draining {
				return
			}
			reply := holder.account.Lend(from, r, sim.clock(holder))
			if sim.mutation == lendsTwice {
				settled := []rate.Settlement{rate.NewSettlement(r.Number(), reply.Amount())}
				holder.account.Lend(from, rate.NewBorrowRequest(r.Holder(), 0, 0, settled), sim.clock(holder))
			}
			sim.send(holder, m, func() {
				if m.instance == from {
					m.account.HandleBorrowReply(r.Holder(), reply, sim.clock(m))
					sim.retryWaiting(m)
				}
			})
		})
		sim.schedule(sim.now+borrowTimeout*4, func() {
			if m.alive && m.instance == from && (!holder.alive || holder.frozen || sim.separated(m, holder)) {
				m.account.HandleNoReply(r.Holder(), sim.clock(m))
			}
		})
	}
}

func (sim *simulation) sendStateQuery(m *machine, vm string) {
	from, other := m.instance, sim.machine(vm)
	state, epoch := m.account.State(sim.clock(m))
	sim.send(m, other, func() {
		other.account.HandleState(state, sim.clock(other))
		reply, _ := other.account.State(sim.clock(other))
		sim.send(other, m, func() {
			if m.instance == from {
				m.account.HandleStateReply(epoch, reply, sim.clock(m))
			}
		})
	})
}

func (sim *simulation) request(m *machine) {
	sim.deliver(m, func() {
		if m.draining {
			return
		}
		if m.account.Admit(sim.clock(m)) {
			sim.admit(m)
			sim.sendBorrowRequests(m, m.account.BorrowRequests(0, time.Time{}, sim.clock(m)))
			return
		}
		r := &request{deadline: sim.now + sim.maxWait}
		m.waiting = append(m.waiting, r)
		sim.sendBorrowRequests(m, m.account.BorrowRequests(len(m.waiting), sim.latest(m), sim.clock(m)))
		instance := m.instance
		sim.schedule(r.deadline, func() { sim.expireRequest(m, instance, r) })
	})
}

// readLevel passes the remaining fraction of the team's burst to then, with the
// same queries as Limiter.RemainingBurst.
func (sim *simulation) readLevel(m *machine, threshold float64, then func(level float64)) {
	level, certain := m.account.Level(threshold, sim.clock(m))
	if certain {
		then(level)
		return
	}
	sim.sendBorrowRequests(m, m.account.LevelRequests(sim.clock(m)))
	sim.schedule(sim.now+levelWait, func() {
		level, _ := m.account.Level(threshold, sim.clock(m))
		then(level)
	})
}

// retryWaiting retries the requests that wait for a grant.
func (sim *simulation) retryWaiting(m *machine) {
	empty := false
	m.waiting = slices.DeleteFunc(m.waiting, func(r *request) bool {
		if empty || r.done || r.deadline < sim.now {
			return r.done
		}
		empty = !m.account.Retry(sim.clock(m))
		if !empty {
			r.done = true
			sim.admit(m)
		}
		return r.done
	})
	if len(m.waiting) == 0 {
		return
	}
	sim.sendBorrowRequests(m, m.account.BorrowRequests(len(m.waiting), sim.latest(m), sim.clock(m)))
	sim.refuseHopeless(m)
	sim.scheduleRetry(m)
}

// refuseHopeless refuses the requests that cannot get a token while they wait.
func (sim *simulation) refuseHopeless(m *machine) {
	earliest := m.account.EarliestToken(len(m.waiting), sim.clock(m))
	for _, r := range slices.Clone(m.waiting) {
		if earliest.After(sim.clock(m).Add(r.deadline - sim.now)) {
			sim.expireRequest(m, m.instance, r)
		}
	}
}

// latest returns when the last request that waits at a machine stops waiting.
func (sim *simulation) latest(m *machine) time.Time {
	var left time.Duration
	for _, r := range m.waiting {
		left = max(left, r.deadline-sim.now)
	}
	return sim.clock(m).Add(left)
}

// scheduleRetry retries the requests that wait at a machine when a promised
// token becomes usable, or after retryInterval.
func (sim *simulation) scheduleRetry(m *machine) {
	at := sim.now + retryInterval
	if promised := m.account.NextPromised(sim.clock(m)); !promised.IsZero() {
		at = min(at, sim.now+promised.Sub(sim.clock(m))+time.Millisecond)
	}
	if m.retryAt > sim.now && m.retryAt <= at {
		return
	}
	m.retryAt = at
	instance := m.instance
	sim.schedule(at, func() {
		if m.retryAt == at && m.instance == instance && m.alive && !m.frozen {
			sim.retryWaiting(m)
		}
	})
}

func (sim *simulation) expireRequest(m *machine, instance hawthornrail.Instance, r *request) {
	if r.done || !m.alive || m.instance != instance {
		return
	}
	r.done = true
	m.waiting = slices.DeleteFunc(m.waiting, func(w *request) bool { return w == r })
	sim.refused++
	if m.account.Retry(sim.clock(m)) {
		sim.refused--
		sim.admit(m)
		return
	}
	sim.retryTimes = append(sim.retryTimes, m.account.Refuse(sim.clock(m)))
}

func (sim *simulation) admit(m *machine) {
	sim.admitted++
	sim.advanceOracle()
	sim.oracle.tokens--
	if sim.oracle.tokens < -1e-6 && sim.oracle.violation == "" {
		sim.oracle.violation = fmt.Sprintf("at %s an admission at %s exceeds the team's rate and burst by %.3f", sim.now, m.vm.Name(), -sim.oracle.tokens)
	}
}

// advanceOracle refills the oracle's bucket up to now. A replaced version
// counts until it must be out of force everywhere; the share of a VM that a
// change does not reach counts for as long as the VM uses it.
func (sim *simulation) advanceOracle() {
	var limit, stale share.Share
	for i, c := range sim.configs {
		if i == len(sim.configs)-1 || sim.now-sim.configs[i+1].accepted <= inForceWithin {
			limit = share.NewShare(max(limit.Rate(), c.rate), max(limit.Burst(), c.burst))
		}
	}
	for _, m := range sim.machines {
		var maxShare share.Share
		for version, lastUsed := range m.lastUsedAt {
			if version == m.version && m.alive {
				lastUsed = sim.now
			}
			if sim.now-lastUsed <= 2*share.GrantReserveTime && version < len(sim.configs)-1 {
				p := sim.configs[version].plan().Share(m.vm.Name())
				maxShare = share.NewShare(max(maxShare.Rate(), p.Rate()), max(maxShare.Burst(), p.Burst()))
			}
		}
		stale = share.NewShare(stale.Rate()+maxShare.Rate(), stale.Burst()+maxShare.Burst())
	}
	if !sim.strict && sim.changeForgotten() {
		limit = share.NewShare(limit.Rate()+stale.Rate(), limit.Burst()+stale.Burst())
	}
	elapsed := (sim.now - sim.oracle.updatedAt).Seconds()
	sim.oracle.updatedAt = sim.now
	sim.oracle.tokens += max(limit.Rate(), stale.Rate()) * (1 + maxClockDrift) * elapsed
	sim.oracle.tokens = min(sim.oracle.tokens, max(limit.Burst(), stale.Burst()))
}

// changeForgotten reports whether a VM still uses a replaced version that no
// holder of the newest version has received in its present process. No holder
// then knows that the VM's old share is in use.
func (sim *simulation) changeForgotten() bool {
	newest := len(sim.configs) - 1
	propagating := sim.now-sim.configs[newest].accepted <= propagationTime
	for version := range newest {
		used, seen := false, false
		for _, m := range sim.machines {
			oldShare := sim.configs[version].plan().Share(m.vm.Name())
			used = used || m.alive && m.version == version && oldShare != share.Share{}
			holds := sim.configs[newest].plan().Share(m.vm.Name()) != share.Share{}
			seen = seen || m.alive && (propagating || m.version > version) && m.seen[version] && holds
		}
		if used && !seen {
			sim.forgottenAt = sim.now
		}
	}
	return sim.forgottenAt > 0 && sim.now-sim.forgottenAt <= 2*share.GrantReserveTime
}

// failer is implemented by *testing.T and *rapid.T.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

func assertWithinRate(t failer, sim *simulation) {
	t.Helper()
	if sim.oracle.violation != "" {
		t.Fatalf("%s", sim.oracle.violation)
	}
}
