package rate

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/team/share"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	shardCount = 64
	// admitWait bounds how long a request waits for a token of another VM.
	admitWait = 60 * time.Millisecond
	// lookWait bounds how long a program that starts waits to learn what its
	// team has left.
	lookWait = 30 * time.Millisecond
	// retryInterval is how often a request that waits looks for tokens that no
	// answer has told of.
	retryInterval = 40 * time.Millisecond
	// askTimeout is when a holder counts as not answering.
	askTimeout = 100 * time.Millisecond
	// stateTimeout bounds one exchange of plans.
	stateTimeout = time.Second
	tickInterval = 50 * time.Millisecond
	// leftRetryAfter is told to callers that still reach a VM that has given
	// up its rates.
	leftRetryAfter = 100 * time.Millisecond
	// maxDecision is the longest time that the clock may move while a token
	// is taken; the hold of grants covers it.
	maxDecision = 5 * time.Millisecond
)

// Fleet counts requests against the teams' rates over all VMs; it implements
// hawthornrail.Admitter.
type Fleet struct {
	self    hawthornrail.Instance
	config  hawthornrail.Configuration
	members hawthornrail.Membership
	remote  *Remote
	clock   hawthornrail.Clock
	started time.Time
	shards  [shardCount]shard

	left atomic.Bool
	// opened says that accounts were opened for the first configuration.
	opened atomic.Bool
	// followed is used by Run only.
	followed *hawthornrail.Snapshot

	mu   sync.Mutex
	gone map[string]uint64
}

// shard holds the accounts of some deployments.
type shard struct {
	mu       sync.Mutex
	accounts map[string]*entry
}

// entry is a deployment's account and the requests that wait for its tokens.
type entry struct {
	account  *Account
	snapshot *hawthornrail.Snapshot
	waiting  int
	changed  chan struct{}
}

// NewFleet returns an admitter for an instance whose process starts now.
func NewFleet(self hawthornrail.Instance, config hawthornrail.Configuration, members hawthornrail.Membership, remote *Remote, clock hawthornrail.Clock) *Fleet {
	f := &Fleet{self: self, config: config, members: members, remote: remote, clock: clock, started: clock.Now(), gone: make(map[string]uint64)}
	for i := range f.shards {
		f.shards[i].accounts = make(map[string]*entry)
	}
	return f
}

func (f *Fleet) shard(deployment string) *shard {
	const prime = 16777619
	h := uint32(2166136261)
	for i := range len(deployment) {
		h = (h ^ uint32(deployment[i])) * prime
	}
	return &f.shards[h%shardCount]
}

// use runs fn on a deployment's account under its lock and with its newest
// plan; it does nothing for an unknown deployment.
func (f *Fleet) use(deployment string, fn func(e *entry, now time.Time)) {
	s := f.shard(deployment)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.accounts[deployment]
	snapshot := f.config.Snapshot()
	now := f.clock.Now()
	if !ok {
		if _, known := snapshot.Deployment(deployment); !known {
			return
		}
		e = &entry{account: NewAccount(f.self, f.started, now), changed: make(chan struct{})}
		s.accounts[deployment] = e
		for vm := range f.goneVMs() {
			e.account.Gone(vm, true, now)
		}
	}
	if e.snapshot != snapshot {
		e.snapshot = snapshot
		// A deployment that is gone has no rate.
		d, _ := snapshot.Deployment(deployment)
		e.account.Follow(share.NewPlan(d, snapshot.VMs()), now)
	}
	fn(e, now)
}

// Ready reports whether this VM may use its parts of the rates; a started VM
// waits for the other holders.
func (f *Fleet) Ready() bool {
	if !f.opened.Load() {
		return false
	}
	for i := range f.shards {
		if f.shards[i].starting(f.clock.Now()) {
			return false
		}
	}
	return true
}

func (s *shard) starting(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.accounts {
		if e.account.Starting(now) {
			return true
		}
	}
	return false
}

// Admit takes one token for a deployment, or says when to come back; it waits
// a few milliseconds at most for tokens of other VMs.
func (f *Fleet) Admit(ctx context.Context, d hawthornrail.Deployment) (time.Duration, bool) {
	return f.AdmitWithin(ctx, d, admitWait)
}

// AdmitWithin is Admit with another bound on the wait.
func (f *Fleet) AdmitWithin(ctx context.Context, d hawthornrail.Deployment, patience time.Duration) (time.Duration, bool) {
	if f.left.Load() {
		return leftRetryAfter, false
	}
	ok, changed := f.try(d.Name(), false)
	if ok {
		return 0, true
	}
	defer f.leave(d.Name())
	deadline := f.clock.After(patience)
	for {
		select {
		case <-changed:
		case <-f.clock.After(retryInterval):
		case <-deadline:
			return f.refuse(d.Name()), false
		case <-ctx.Done():
			return f.refuse(d.Name()), false
		}
		if ok, changed = f.try(d.Name(), true); ok {
			return 0, true
		}
	}
}

// refuse counts a request that no token came for and returns when to come
// back.
func (f *Fleet) refuse(deployment string) time.Duration {
	wait := idleRetryAfter
	f.use(deployment, func(e *entry, now time.Time) { wait = e.account.Refuse(now) })
	return wait
}

// try takes a token; a request that finds none counts as waiting from then on.
func (f *Fleet) try(deployment string, waits bool) (bool, <-chan struct{}) {
	ok := false
	var asks []Ask
	var changed <-chan struct{}
	f.use(deployment, func(e *entry, now time.Time) {
		if waits {
			ok = e.account.Retry(now)
		} else {
			ok = e.account.Admit(now)
		}
		// A process that was frozen here may have taken a token that expired.
		for ok && f.clock.Since(now) > maxDecision {
			now = f.clock.Now()
			ok = e.account.Retry(now)
		}
		if !ok && !waits {
			e.waiting++
		}
		asks = e.account.Asks(e.waiting, now)
		changed = e.changed
	})
	f.send(deployment, asks)
	return ok, changed
}

// Level returns the part of a team's burst that is believed to be left. If it
// can't be told whether it is an amount, the holders are asked.
func (f *Fleet) Level(ctx context.Context, d hawthornrail.Deployment, amount float64) float64 {
	level, sure := 1.0, true
	var changed <-chan struct{}
	var asks []Ask
	look := func(e *entry, now time.Time) {
		if level, sure = e.account.Level(amount, now); sure {
			return
		}
		if changed == nil {
			asks = e.account.Look(now)
		}
		changed = e.changed
	}
	f.use(d.Name(), look)
	f.send(d.Name(), asks)
	deadline := f.clock.After(lookWait)
	for !sure {
		select {
		case <-changed:
			f.use(d.Name(), look)
		case <-deadline:
			return level
		case <-ctx.Done():
			return level
		}
	}
	return level
}

func (f *Fleet) leave(deployment string) {
	f.use(deployment, func(e *entry, _ time.Time) { e.waiting-- })
}

func (f *Fleet) address(vm string) (string, bool) {
	if v, ok := f.config.Snapshot().VM(vm); ok {
		return v.Address(), true
	}
	m, ok := f.members.Member(vm)
	return m.Address(), ok
}

func (f *Fleet) send(deployment string, asks []Ask) {
	for _, a := range asks {
		go f.borrow(deployment, a)
	}
}

func (f *Fleet) borrow(deployment string, a Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var reply Reply
	address, ok := f.address(a.Holder())
	if ok {
		var err error
		reply, err = f.remote.Borrow(ctx, address, deployment, a)
		ok = err == nil
	}
	var more []Ask
	f.use(deployment, func(e *entry, now time.Time) {
		if !ok {
			e.account.Lost(a.Holder(), now)
		} else {
			e.account.Granted(a.Holder(), reply, now)
		}
		if a.Amount() > 0 && e.waiting > 0 {
			more = e.account.Asks(e.waiting, now)
		}
		close(e.changed)
		e.changed = make(chan struct{})
	})
	f.send(deployment, more)
}

// Lend answers the ask of another VM.
func (f *Fleet) Lend(from hawthornrail.Instance, m *vmpb.Borrow) *vmpb.BorrowReply {
	reply := Reply{number: m.GetNumber(), wait: maxBlocked}
	if f.left.Load() {
		return replyToWire(reply)
	}
	f.use(m.GetDeployment(), func(e *entry, now time.Time) {
		reply = e.account.Lend(from, askFromWire(f.self.VM(), m), now)
	})
	return replyToWire(reply)
}

// Exchange takes the state of another VM's plan and returns this VM's.
func (f *Fleet) Exchange(from hawthornrail.Instance, m *vmpb.ShareState) *vmpb.ShareState {
	// Without an account this run has used nothing of the deployment.
	own := share.NewState(f.self.VM(), 0, share.Part{}, f.clock.Since(f.started) >= share.GrantHold, nil)
	f.use(m.GetDeployment(), func(e *entry, now time.Time) {
		e.account.Told(stateFromWire(from.VM(), m), now)
		own, _ = e.account.State(now)
	})
	return stateToWire(m.GetDeployment(), own)
}

// Receive serves the messages of other VMs about rates and reports whether
// open is one.
func (f *Fleet) Receive(open *vmpb.Open, s *peer.Stream) bool {
	f.returned(s.From())
	switch k := open.GetKind().(type) {
	case *vmpb.Open_LeaveRates:
		f.leaves(s.From())
		_ = s.Send(&vmpb.LeaveRatesReply{})
	case *vmpb.Open_Borrow:
		_ = s.Send(f.Lend(s.From(), k.Borrow))
	case *vmpb.Open_ShareState:
		_ = s.Send(f.Exchange(s.From(), k.ShareState))
	default:
		return false
	}
	return true
}

// Run follows the configuration, returns unused tokens and exchanges plans
// until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.follow()
		f.tick()
		clock.Wait(ctx, f.clock, tickInterval)
	}
}

// follow opens accounts for the deployments that this VM holds a part of, so
// that their buckets fill from when the configuration is known.
func (f *Fleet) follow() {
	snapshot := f.config.Snapshot()
	before := f.followed
	if snapshot == before {
		return
	}
	f.followed = snapshot
	vms := snapshot.VMs()
	moved := before == nil || !slices.Equal(vms, before.VMs())
	for _, d := range snapshot.Deployments() {
		if !moved {
			if old, ok := before.Deployment(d.Name()); ok && old.Version() == d.Version() {
				continue
			}
		}
		if (share.NewPlan(d, vms).Part(f.self.VM()) != share.Part{}) {
			f.use(d.Name(), func(*entry, time.Time) {})
		}
	}
	if snapshot.Revision() > 0 {
		f.opened.Store(true)
	}
}

// tick does the periodic work of every account.
func (f *Fleet) tick() {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		names := make([]string, 0, len(s.accounts))
		for name := range s.accounts {
			names = append(names, name)
		}
		s.mu.Unlock()
		for _, name := range names {
			f.tend(name)
		}
	}
}

func (f *Fleet) tend(deployment string) {
	var asks []Ask
	var due []string
	var state share.State
	var epoch uint64
	idle := false
	f.use(deployment, func(e *entry, now time.Time) {
		asks = e.account.Returns(now)
		due = e.account.Queries(now)
		state, epoch = e.account.State(now)
		idle = e.waiting == 0 && e.account.Idle(now)
	})
	if idle {
		f.forget(deployment)
	}
	f.send(deployment, asks)
	for _, vm := range due {
		go f.exchange(deployment, vm, state, epoch)
	}
}

func (f *Fleet) forget(deployment string) {
	s := f.shard(deployment)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.accounts[deployment]; ok && e.waiting == 0 && e.account.Idle(f.clock.Now()) {
		delete(s.accounts, deployment)
	}
}

func (f *Fleet) exchange(deployment, vm string, state share.State, epoch uint64) {
	address, ok := f.address(vm)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	answer, err := f.remote.Exchange(ctx, vm, address, deployment, state)
	if err != nil {
		return
	}
	f.use(deployment, func(e *entry, now time.Time) { e.account.Answered(epoch, answer, now) })
}
