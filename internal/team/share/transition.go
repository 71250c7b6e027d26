package share

import (
	"cmp"
	"slices"
	"time"
)

const (
	// GrantTTL is how long a borrowed token may be used, counted from when the
	// borrower sent its request.
	GrantTTL = time.Second
	// GrantReserveTime is how long a holder reserves a grant that is not
	// settled; it allows for clock rates that are off by up to 1% each way.
	GrantReserveTime = GrantTTL * 103 / 100
	// ImmediateGrantTTL is GrantTTL for tokens that a caller's request waits
	// for.
	ImmediateGrantTTL = 200 * time.Millisecond
	// ImmediateGrantReserveTime is GrantReserveTime for such tokens.
	ImmediateGrantReserveTime = ImmediateGrantTTL * 107 / 100
	// reductionGrace is how long a reduction of the rate waits for VMs that
	// have not confirmed it; then the confirmed VMs reduce their use further by
	// what those may still use.
	reductionGrace = 5 * time.Second
	// startTimeout is how long a started VM waits for the other holders to
	// confirm its plan; accepted configuration is in force everywhere by then.
	startTimeout = 10 * time.Second
	// removedVMTimeout is how long the share of a VM that the platform no
	// longer lists stays reserved if that VM never confirms.
	removedVMTimeout = 10 * time.Minute
)

// PromiseTTL is how long tokens may be used that their holder has after a delay,
// counted from when the borrower sent its request.
func PromiseTTL(delay time.Duration) time.Duration { return delay + ImmediateGrantTTL }

// PromiseReserveTime is GrantReserveTime for such tokens.
func PromiseReserveTime(delay time.Duration) time.Duration { return PromiseTTL(delay) * 107 / 100 }

// Claim is the smallest and the largest share that a VM may use under plans
// that it has not provably given up.
type Claim struct {
	vm   string
	low  Share
	high Share
}

// NewClaim returns the claim of a VM.
func NewClaim(vm string, low, high Share) Claim { return Claim{vm: vm, low: low, high: high} }

// VM returns the name of the VM.
func (c Claim) VM() string { return c.vm }

// Low returns the smallest share over these plans.
func (c Claim) Low() Share { return c.low }

// High returns the largest share over these plans.
func (c Claim) High() Share { return c.high }

// State is what VMs exchange about a deployment's plan.
type State struct {
	vm          string
	fingerprint uint64
	share       Share
	settled     bool
	claims      []Claim
}

// NewState returns the state of a VM whose plan has a fingerprint and gives it
// a share; settled means that nothing of the VM's earlier plans can be used any
// more.
func NewState(vm string, fingerprint uint64, share Share, settled bool, claims []Claim) State {
	return State{vm: vm, fingerprint: fingerprint, share: share, settled: settled, claims: claims}
}

// VM returns the name of the VM.
func (s State) VM() string { return s.vm }

// PlanFingerprint returns the fingerprint of the VM's plan.
func (s State) PlanFingerprint() uint64 { return s.fingerprint }

// Share returns the VM's share under its plan.
func (s State) Share() Share { return s.share }

// Settled reports whether nothing of the VM's earlier plans can be used any
// more.
func (s State) Settled() bool { return s.settled }

// Claims returns what other VMs may still use under earlier plans.
func (s State) Claims() []Claim { return s.claims }

// claimBounds are the bounds of one VM's share over the plans since the last
// one that all VMs confirmed.
type claimBounds struct {
	low       Share
	high      Share
	confirmed bool
}

// Transition decides how much of its share a VM may use while VMs hold
// different plans of one deployment. A share that grows is used only as far as
// VMs have confirmed that theirs shrink. When a reduction stays unconfirmed,
// the VMs that have confirmed it reduce their use to compensate.
type Transition struct {
	self      string
	started   time.Time
	plan      Plan
	epoch     uint64
	changedAt time.Time
	starting  bool
	bounds    map[string]claimBounds
	stopped   map[string]bool
}

// NewTransition returns the transition of a VM whose process started at the
// given time and that has no earlier plan.
func NewTransition(self string, started time.Time) *Transition {
	return &Transition{self: self, started: started}
}

// Plan returns the plan in force on this VM.
func (t *Transition) Plan() Plan { return t.plan }

// Epoch returns a number that increases with every plan applied.
func (t *Transition) Epoch() uint64 { return t.epoch }

// Complete reports whether all holders have confirmed the plan.
func (t *Transition) Complete() bool { return t.bounds == nil && !t.changedAt.IsZero() }

// ApplyPlan replaces the plan by that of a newer configuration.
func (t *Transition) ApplyPlan(p Plan, now time.Time) {
	if t.changedAt.IsZero() {
		t.plan, t.changedAt, t.starting = p, now, true
		t.epoch++
		if (p.Share(t.self) == Share{}) {
			return
		}
		t.bounds = make(map[string]claimBounds)
		for _, v := range p.Holders() {
			t.bounds[v.Name()] = claimBounds{low: p.Share(v.Name()), high: p.Share(v.Name())}
		}
		t.confirmSelf(now)
		return
	}
	if p.Fingerprint() == t.plan.Fingerprint() {
		return
	}
	t.initBounds()
	for _, v := range p.Holders() {
		if _, ok := t.bounds[v.Name()]; !ok {
			t.bounds[v.Name()] = claimBounds{}
		}
	}
	for vm, b := range t.bounds {
		old := t.plan.Share(vm)
		t.bounds[vm] = claimBounds{low: b.low.min(old), high: b.high.max(old)}
	}
	t.plan, t.changedAt = p, now
	t.epoch++
	t.confirmStopped()
	t.confirmSelf(now)
}

// SetStopped records whether a VM has provably stopped using its share; until
// it starts again, it counts as having confirmed every plan.
func (t *Transition) SetStopped(vm string, stopped bool, now time.Time) {
	if !stopped {
		delete(t.stopped, vm)
		return
	}
	if t.stopped == nil {
		t.stopped = make(map[string]bool)
	}
	t.stopped[vm] = true
	t.confirmStopped()
	t.tryComplete(now)
}

func (t *Transition) confirmStopped() {
	for vm, b := range t.bounds {
		b.confirmed = b.confirmed || t.stopped[vm]
		t.bounds[vm] = b
	}
}

// initBounds starts to track bounds, from a plan that all holders have
// confirmed.
func (t *Transition) initBounds() {
	if t.bounds != nil {
		return
	}
	t.bounds = make(map[string]claimBounds)
	for _, v := range t.plan.Holders() {
		t.bounds[v.Name()] = claimBounds{low: t.plan.share, high: t.plan.share}
	}
}

func (t *Transition) confirmSelf(now time.Time) {
	b := t.bounds[t.self]
	b.confirmed = true
	t.bounds[t.self] = b
	t.tryComplete(now)
}

// State returns the state to send to other VMs.
func (t *Transition) State(now time.Time) State {
	s := State{vm: t.self, fingerprint: t.plan.Fingerprint(), share: t.plan.Share(t.self), settled: t.settled(now)}
	for vm, b := range t.bounds {
		if vm != t.self && !b.confirmed && b.high != t.plan.Share(vm) {
			s.claims = append(s.claims, Claim{vm: vm, low: b.low, high: b.high})
		}
	}
	slices.SortFunc(s.claims, func(a, b Claim) int { return cmp.Compare(a.vm, b.vm) })
	return s
}

// settled reports whether the grants under earlier plans, also those of an
// earlier process, have expired.
func (t *Transition) settled(now time.Time) bool {
	from := t.changedAt
	if t.starting {
		from = t.started
	}
	return now.Sub(from) >= GrantReserveTime
}

// Unconfirmed returns the VMs that have not confirmed the plan.
func (t *Transition) Unconfirmed() []string {
	var unconfirmed []string
	for vm, b := range t.bounds {
		if !b.confirmed {
			unconfirmed = append(unconfirmed, vm)
		}
	}
	slices.Sort(unconfirmed)
	return unconfirmed
}

// HandleState applies an unsolicited state that another VM sent. The
// message may be delayed, so it confirms nothing.
func (t *Transition) HandleState(s State, now time.Time) {
	if t.changedAt.IsZero() || s.vm == t.self || s.fingerprint == t.plan.Fingerprint() {
		return
	}
	if _, known := t.bounds[s.vm]; !known && (s.share == Share{}) {
		return
	}
	if t.bounds == nil {
		t.changedAt = now
		t.initBounds()
		t.confirmOthers(s.vm)
	}
	b, ok := t.bounds[s.vm]
	if !ok {
		b.low = s.share.min(t.plan.Share(s.vm))
	}
	t.bounds[s.vm] = claimBounds{low: b.low.min(s.share), high: b.high.max(s.share)}
}

func (t *Transition) confirmOthers(except string) {
	for vm, b := range t.bounds {
		b.confirmed = vm == t.self || vm != except && !t.starting
		t.bounds[vm] = b
	}
}

// HandleStateReply applies the reply to a state that this VM sent in an epoch.
func (t *Transition) HandleStateReply(epoch uint64, s State, now time.Time) {
	t.HandleState(s, now)
	if t.bounds == nil || epoch != t.epoch || s.fingerprint != t.plan.Fingerprint() {
		return
	}
	for _, claim := range s.claims {
		t.mergeClaim(claim)
	}
	b, ok := t.bounds[s.vm]
	if ok && s.settled {
		b.confirmed = true
		t.bounds[s.vm] = b
	}
	t.tryComplete(now)
}

// mergeClaim merges a claim from another VM into the bounds; only a started VM
// needs it, as it has not seen the earlier plans.
func (t *Transition) mergeClaim(claim Claim) {
	b, ok := t.bounds[claim.vm]
	if claim.vm == t.self || b.confirmed || !t.starting {
		return
	}
	if !ok {
		b.low = claim.low
	}
	t.bounds[claim.vm] = claimBounds{low: b.low.min(claim.low), high: b.high.max(claim.high)}
}

// tryComplete ends the transition once every VM has confirmed the plan or has
// reached its timeout.
func (t *Transition) tryComplete(now time.Time) {
	if t.bounds == nil {
		return
	}
	if t.starting && (t.holdersConfirmed() || now.Sub(t.changedAt) >= startTimeout) {
		t.starting = false
	}
	for vm, b := range t.bounds {
		removed := t.plan.Share(vm) == Share{} && now.Sub(t.changedAt) >= removedVMTimeout
		if !b.confirmed && !removed {
			return
		}
	}
	if !t.starting {
		t.bounds = nil
	}
}

func (t *Transition) holdersConfirmed() bool {
	for _, v := range t.plan.Holders() {
		if !t.bounds[v.Name()].confirmed {
			return false
		}
	}
	return true
}

// StartWait returns the longest time that a started VM still has to wait before
// it may use its share; it can end earlier when the other holders confirm.
func (t *Transition) StartWait(now time.Time) time.Duration {
	t.tryComplete(now)
	if !t.starting || t.plan.Share(t.self) == (Share{}) {
		return 0
	}
	return t.changedAt.Add(startTimeout).Sub(now)
}

// Usable returns the share that this VM may use now.
func (t *Transition) Usable(now time.Time) Share {
	if t.bounds == nil {
		return t.plan.Share(t.self)
	}
	t.tryComplete(now)
	switch {
	case t.bounds == nil:
		return t.plan.Share(t.self)
	case t.starting:
		return Share{}
	}
	var totals transitionTotals
	for vm, b := range t.bounds {
		target := t.plan.Share(vm)
		floor := b.low.min(target)
		totals.growth = totals.growth.add(target.sub(floor))
		if b.confirmed {
			totals.confirmedFloors = totals.confirmedFloors.add(floor)
		} else {
			totals.excess = totals.excess.add(b.high.max(floor).sub(floor))
		}
	}
	target := t.plan.Share(t.self)
	floor := t.bounds[t.self].low.min(target)
	graceExpired := now.Sub(t.changedAt) >= reductionGrace
	return Share{
		rate:  usableAmount(target.rate, floor.rate, totals.growth.rate, totals.excess.rate, totals.confirmedFloors.rate, graceExpired),
		burst: usableAmount(target.burst, floor.burst, totals.growth.burst, totals.excess.burst, totals.confirmedFloors.burst, graceExpired),
	}
}

// transitionTotals are sums over the VMs of a transition: by how much shares
// may grow, what unconfirmed VMs may use above their floors, and the floors of
// confirmed VMs. A VM's floor is the smallest of its shares under the plans
// concerned.
type transitionTotals struct {
	growth          Share
	excess          Share
	confirmedFloors Share
}

func usableAmount(target, floor, growth, excess, floors float64, graceExpired bool) float64 {
	if excess <= growth {
		if growth <= 0 {
			return floor
		}
		return floor + (target-floor)*(1-excess/growth)
	}
	if !graceExpired || floors <= 0 {
		return floor
	}
	return floor * max(0, 1-(excess-growth)/floors)
}
