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
	// admitWait bounds how long a request waits for a token from another VM.
	admitWait = 60 * time.Millisecond
	// levelWait bounds how long a program that starts waits for the holders'
	// replies about its team's remaining tokens.
	levelWait = 30 * time.Millisecond
	// retryInterval is how often a waiting request retries without a
	// notification; tokens that refill in the VM's own bucket send none.
	retryInterval = 40 * time.Millisecond
	// borrowTimeout is the time without a reply after which a holder counts as
	// unresponsive.
	borrowTimeout = 100 * time.Millisecond
	// stateTimeout bounds one exchange of plan states.
	stateTimeout = time.Second
	tickInterval = 50 * time.Millisecond
	// drainingRetryAfter is the retry delay for callers that still reach a VM
	// that has stopped admitting requests.
	drainingRetryAfter = 100 * time.Millisecond
	// maxAdmitTime is the longest time that may pass while a token is taken;
	// GrantReserveTime and ImmediateGrantReserveTime allow for it.
	maxAdmitTime = 5 * time.Millisecond
)

// Limiter enforces the teams' rates on this VM, together with the other VMs; it
// implements hawthornrail.Admitter.
type Limiter struct {
	self    hawthornrail.Instance
	config  hawthornrail.Configuration
	members hawthornrail.Membership
	remote  *Client
	clock   hawthornrail.Clock
	started time.Time
	role    hawthornrail.HolderRole
	shards  [shardCount]shard

	draining atomic.Bool
	// accountsOpened is set once the accounts for the first configuration
	// exist.
	accountsOpened atomic.Bool
	// appliedSnapshot is the last snapshot for which accounts were opened, and appliedSince
	// since when the shares were held then; only Run uses them.
	appliedSnapshot *hawthornrail.Snapshot
	appliedSince    time.Time

	mu      sync.Mutex
	drained map[string]uint64
}

// shard holds the accounts of some deployments.
type shard struct {
	mu       sync.Mutex
	accounts map[string]*entry
}

// entry is a deployment's account and the number of requests that wait for its
// tokens.
type entry struct {
	account *Account
	// since is when the shares that the account has became this VM's.
	since    time.Time
	snapshot *hawthornrail.Snapshot
	waiting  int
	// latest is when the last of the waiting requests stops waiting.
	latest  time.Time
	changed chan struct{}
}

// NewLimiter returns an admitter for an instance whose process starts now.
func NewLimiter(self hawthornrail.Instance, config hawthornrail.Configuration, members hawthornrail.Membership, remote *Client, clock hawthornrail.Clock) *Limiter {
	l := &Limiter{self: self, config: config, members: members, remote: remote, clock: clock, started: clock.Now(), drained: make(map[string]uint64)}
	for i := range l.shards {
		l.shards[i].accounts = make(map[string]*entry)
	}
	return l
}

// SetRole sets what says whether this VM holds the shares of its name, if another VM may take
// them over; it must be called before the limiter is used.
func (l *Limiter) SetRole(role hawthornrail.HolderRole) { l.role = role }

// holding returns since when and whether this VM holds the shares of its name.
func (l *Limiter) holding() (since time.Time, held bool) {
	if l.role == nil {
		return l.started, true
	}
	since, held = l.role.HoldsShares()
	if since.Before(l.started) {
		since = l.started
	}
	return since, held
}

func (l *Limiter) holds() bool {
	_, held := l.holding()
	return held
}

func (l *Limiter) shard(deployment string) *shard {
	const prime = 16777619
	h := uint32(2166136261)
	for i := range len(deployment) {
		h = (h ^ uint32(deployment[i])) * prime
	}
	return &l.shards[h%shardCount]
}

// withAccount runs fn on a deployment's account under its lock, with the plan
// of the current configuration; it does nothing for an unknown deployment. The account of a
// VM that has taken over the shares of another one is empty, as after a restart: the
// predecessor may have used all that its own held.
func (l *Limiter) withAccount(deployment string, fn func(e *entry, now time.Time)) {
	s := l.shard(deployment)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.accounts[deployment]
	snapshot := l.config.Snapshot()
	now := l.clock.Now()
	since, _ := l.holding()
	if !ok || !e.since.Equal(since) {
		if _, known := snapshot.Deployment(deployment); !known {
			return
		}
		e = &entry{account: NewAccount(l.self, since, now), since: since, changed: make(chan struct{})}
		s.accounts[deployment] = e
		for vm := range l.drainedVMs() {
			e.account.SetStopped(vm, true, now)
		}
	}
	if e.snapshot != snapshot {
		e.snapshot = snapshot
		// A removed deployment has no rate.
		d, _ := snapshot.Deployment(deployment)
		e.account.ApplyPlan(share.NewPlan(d, snapshot.VMs()), now)
	}
	fn(e, now)
}

// Ready reports whether this VM may use its shares of the rates; after its
// start it waits for the other holders.
func (l *Limiter) Ready() bool {
	if !l.accountsOpened.Load() {
		return false
	}
	for i := range l.shards {
		if l.shards[i].starting(l.clock.Now()) {
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

// Admit takes one token for a deployment, or returns the time after which to
// retry; it waits up to admitWait for tokens of other VMs.
func (l *Limiter) Admit(ctx context.Context, d hawthornrail.Deployment) (time.Duration, bool) {
	return l.AdmitWithin(ctx, d, admitWait)
}

// AdmitWithin is Admit with its own bound on the wait.
func (l *Limiter) AdmitWithin(ctx context.Context, d hawthornrail.Deployment, maxWait time.Duration) (time.Duration, bool) {
	if l.draining.Load() {
		return drainingRetryAfter, false
	}
	latest := l.clock.Now().Add(maxWait)
	a := l.tryAdmit(d.Name(), false, latest)
	if a.ok {
		return 0, true
	}
	defer l.stopWaiting(d.Name())
	deadline := l.clock.After(maxWait)
	for !a.earliest.After(latest) {
		select {
		case <-a.changed:
		case <-l.clock.After(a.pause):
		case <-deadline:
			return l.refuse(d.Name()), false
		case <-ctx.Done():
			return l.refuse(d.Name()), false
		}
		if a = l.tryAdmit(d.Name(), true, latest); a.ok {
			return 0, true
		}
	}
	return l.refuse(d.Name()), false
}

// refuse counts a request that got no token and returns the time after which to
// retry it.
func (l *Limiter) refuse(deployment string) time.Duration {
	wait := idleRetryAfter
	l.withAccount(deployment, func(e *entry, now time.Time) { wait = e.account.Refuse(now) })
	return wait
}

// admission is the result of one try to take a token.
type admission struct {
	ok bool
	// changed is closed when a holder has replied, and pause is when to try again
	// without that.
	changed <-chan struct{}
	pause   time.Duration
	// earliest is when the holders can have a token; it is zero if that may be at
	// any time.
	earliest time.Time
}

// tryAdmit takes a token. If there is none, it counts the request as waiting
// unless it was counted before, and borrows from other VMs. The request waits
// until latest.
func (l *Limiter) tryAdmit(deployment string, counted bool, latest time.Time) admission {
	a := admission{pause: retryInterval}
	var requests []BorrowRequest
	l.withAccount(deployment, func(e *entry, now time.Time) {
		if counted {
			a.ok = e.account.Retry(now)
		} else {
			a.ok = e.account.Admit(now)
		}
		// If the process was suspended here, the token that it took may have
		// expired.
		for a.ok && l.clock.Since(now) > maxAdmitTime {
			now = l.clock.Now()
			a.ok = e.account.Retry(now)
		}
		if a.ok {
			requests = e.account.BorrowRequests(e.waiting, e.latest, now)
			return
		}
		if !counted {
			e.waiting++
		}
		if latest.After(e.latest) {
			e.latest = latest
		}
		requests = e.account.BorrowRequests(e.waiting, e.latest, now)
		a.changed, a.earliest = e.changed, e.account.EarliestToken(e.waiting, now)
		if promised := e.account.NextPromised(now); !promised.IsZero() {
			a.pause = min(retryInterval, promised.Sub(now))
		}
	})
	l.sendBorrowRequests(deployment, requests)
	return a
}

// RemainingBurst returns the estimated fraction of a team's burst that remains. It
// queries the holders first if it is uncertain on which side of the threshold
// that is.
func (l *Limiter) RemainingBurst(ctx context.Context, d hawthornrail.Deployment, threshold float64) float64 {
	level, certain := 1.0, true
	var changed <-chan struct{}
	var requests []BorrowRequest
	readLevel := func(e *entry, now time.Time) {
		if level, certain = e.account.Level(threshold, now); certain {
			return
		}
		if changed == nil {
			requests = e.account.LevelRequests(now)
		}
		changed = e.changed
	}
	l.withAccount(d.Name(), readLevel)
	l.sendBorrowRequests(d.Name(), requests)
	deadline := l.clock.After(levelWait)
	for !certain {
		select {
		case <-changed:
			l.withAccount(d.Name(), readLevel)
		case <-deadline:
			return level
		case <-ctx.Done():
			return level
		}
	}
	return level
}

func (l *Limiter) stopWaiting(deployment string) {
	l.withAccount(deployment, func(e *entry, _ time.Time) { e.waiting-- })
}

func (l *Limiter) address(vm string) (string, bool) {
	if v, ok := l.config.Snapshot().VM(vm); ok {
		return v.Address(), true
	}
	m, ok := l.members.Member(vm)
	return m.Address(), ok
}

func (l *Limiter) sendBorrowRequests(deployment string, requests []BorrowRequest) {
	for _, r := range requests {
		go l.borrow(deployment, r)
	}
}

func (l *Limiter) borrow(deployment string, request BorrowRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	var reply BorrowReply
	address, ok := l.address(request.Holder())
	if ok {
		var err error
		reply, err = l.remote.Borrow(ctx, address, deployment, request)
		ok = err == nil
	}
	var more []BorrowRequest
	l.withAccount(deployment, func(e *entry, now time.Time) {
		if !ok {
			e.account.HandleNoReply(request.Holder(), now)
		} else {
			e.account.HandleBorrowReply(request.Holder(), reply, now)
		}
		if request.Amount() > 0 && e.waiting > 0 {
			more = e.account.BorrowRequests(e.waiting, e.latest, now)
		}
		close(e.changed)
		e.changed = make(chan struct{})
	})
	l.sendBorrowRequests(deployment, more)
}

// Lend serves the borrow request of another VM.
func (l *Limiter) Lend(from hawthornrail.Instance, m *vmpb.Borrow) *vmpb.BorrowReply {
	reply := BorrowReply{number: m.GetNumber(), wait: maxEmptyPause}
	if l.draining.Load() || !l.holds() {
		return borrowReplyToWire(reply)
	}
	l.withAccount(m.GetDeployment(), func(e *entry, now time.Time) {
		reply = e.account.Lend(from, borrowRequestFromWire(l.self.VM(), m), now)
	})
	return borrowReplyToWire(reply)
}

// ExchangeState applies the plan state of another VM and returns this VM's.
func (l *Limiter) ExchangeState(from hawthornrail.Instance, m *vmpb.ShareState) *vmpb.ShareState {
	// Without an account, this process has used nothing of the deployment's
	// rate.
	state := share.NewState(l.self.VM(), 0, share.Share{}, l.clock.Since(l.started) >= share.GrantReserveTime, nil)
	l.withAccount(m.GetDeployment(), func(e *entry, now time.Time) {
		e.account.HandleState(stateFromWire(from.VM(), m), now)
		state, _ = e.account.State(now)
	})
	return stateToWire(m.GetDeployment(), state)
}

// Receive serves the messages of other VMs about rates; it reports whether the
// message that opened the stream is one.
func (l *Limiter) Receive(open *vmpb.Open, s *peer.Stream) bool {
	l.recordRestart(s.From())
	switch k := open.GetKind().(type) {
	case *vmpb.Open_LeaveRates:
		l.recordDrained(s.From())
		_ = s.Send(&vmpb.LeaveRatesReply{})
	case *vmpb.Open_Borrow:
		_ = s.Send(l.Lend(s.From(), k.Borrow))
	case *vmpb.Open_ShareState:
		// The state of shares that another VM holds confirms nothing.
		if l.holds() {
			_ = s.Send(l.ExchangeState(s.From(), k.ShareState))
		}
	default:
		return false
	}
	return true
}

// Run applies configuration, returns unused tokens and exchanges plan states
// until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if since, held := l.holding(); held {
			l.openAccounts(since)
			l.maintainAccounts()
		}
		clock.Wait(ctx, l.clock, tickInterval)
	}
}

// openAccounts opens accounts for the deployments of which this VM holds a
// share, so that their buckets fill from when the configuration arrives or the share became
// this VM's.
func (l *Limiter) openAccounts(since time.Time) {
	snapshot := l.config.Snapshot()
	previous := l.appliedSnapshot
	if !l.appliedSince.Equal(since) {
		previous = nil
	}
	if snapshot == previous {
		return
	}
	l.appliedSnapshot, l.appliedSince = snapshot, since
	vms := snapshot.VMs()
	vmsChanged := previous == nil || !slices.Equal(vms, previous.VMs())
	for _, d := range snapshot.Deployments() {
		if !vmsChanged {
			if old, ok := previous.Deployment(d.Name()); ok && old.Version() == d.Version() {
				continue
			}
		}
		if (share.NewPlan(d, vms).Share(l.self.VM()) != share.Share{}) {
			l.withAccount(d.Name(), func(*entry, time.Time) {})
		}
	}
	if snapshot.Revision() > 0 {
		l.accountsOpened.Store(true)
	}
}

// maintainAccounts does the periodic work of every account.
func (l *Limiter) maintainAccounts() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		names := make([]string, 0, len(s.accounts))
		for name := range s.accounts {
			names = append(names, name)
		}
		s.mu.Unlock()
		for _, name := range names {
			l.maintainAccount(name)
		}
	}
}

func (l *Limiter) maintainAccount(deployment string) {
	var requests []BorrowRequest
	var dueVMs []string
	var state share.State
	var epoch uint64
	idle := false
	l.withAccount(deployment, func(e *entry, now time.Time) {
		requests = e.account.ReturnUnused(now)
		dueVMs = e.account.DueStateQueries(now)
		state, epoch = e.account.State(now)
		idle = e.waiting == 0 && e.account.Idle(now)
	})
	if idle {
		l.removeIdleAccount(deployment)
	}
	l.sendBorrowRequests(deployment, requests)
	for _, vm := range dueVMs {
		go l.exchangeState(deployment, vm, state, epoch)
	}
}

func (l *Limiter) removeIdleAccount(deployment string) {
	s := l.shard(deployment)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.accounts[deployment]; ok && e.waiting == 0 && e.account.Idle(l.clock.Now()) {
		delete(s.accounts, deployment)
	}
}

func (l *Limiter) exchangeState(deployment, vm string, state share.State, epoch uint64) {
	address, ok := l.address(vm)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	reply, err := l.remote.ExchangeState(ctx, vm, address, deployment, state)
	if err != nil {
		return
	}
	l.withAccount(deployment, func(e *entry, now time.Time) { e.account.HandleStateReply(epoch, reply, now) })
}
