package fleet

import (
	"context"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/platform/client"
	"hawthornrail.example/hawthornrail/internal/program/home"
	"hawthornrail.example/hawthornrail/internal/program/pair"
	"hawthornrail.example/hawthornrail/internal/program/replica"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
)

const (
	takeoverInterval      = 100 * time.Millisecond
	pairRequestTimeout    = 400 * time.Millisecond
	platformProbeInterval = 5 * time.Second
	platformRetryInterval = time.Second
	platformTimeout       = time.Second
	stuckTimeout          = 2 * time.Second
	unusableOfferDelay    = 3 * time.Second
	handOffPollInterval   = 50 * time.Millisecond
)

// HoldingsDependencies are the dependencies of Holdings.
type HoldingsDependencies struct {
	Self     hawthornrail.Instance
	Clock    hawthornrail.Clock
	Config   hawthornrail.Configuration
	Members  hawthornrail.Membership
	Client   *peer.Client
	Platform *client.Client
	Replicas *replica.Store
	Log      events.Logger
}

// Holdings are the holdings that this VM holds; they implement
// hawthornrail.Replicator.
type Holdings struct {
	deps    HoldingsDependencies
	started time.Time
	home    *home.Home
	ctx     context.Context

	mu           sync.Mutex
	own          *localHolding
	local        map[hawthornrail.Instance]*localHolding
	takeovers    map[hawthornrail.Instance]bool
	platformDown bool
	draining     bool
}

// NewHoldings returns the holdings of a new process: a single one without
// programs.
func NewHoldings(deps HoldingsDependencies) *Holdings {
	o := &Holdings{
		deps: deps, started: deps.Clock.Now(), local: make(map[hawthornrail.Instance]*localHolding),
		takeovers: make(map[hawthornrail.Instance]bool),
	}
	o.own = newLocalHolding(o, deps.Self, 1)
	o.local[deps.Self] = o.own
	return o
}

// SetHome sets the home that contains the trees of these holdings; it must be
// called before Run.
func (o *Holdings) SetHome(h *home.Home) { o.home = h }

// Start runs the holdings in the background until ctx ends.
func (o *Holdings) Start(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctx = ctx
	for _, h := range o.local {
		go h.run(ctx)
	}
}

// Run takes over holdings of other VMs until ctx ends; it must be called after
// Start.
func (o *Holdings) Run(ctx context.Context) {
	go o.watchPlatform(ctx)
	for ctx.Err() == nil {
		o.renewOwn(ctx)
		for _, due := range o.deps.Replicas.Tick(o.instanceEnded) {
			o.takeOver(ctx, due)
		}
		o.pause(ctx, takeoverInterval)
	}
}

func (o *Holdings) pause(ctx context.Context, d time.Duration) {
	clock.Wait(ctx, o.deps.Clock, d)
}

// instanceEnded reports whether the membership lists a later incarnation of
// the instance's VM.
func (o *Holdings) instanceEnded(i hawthornrail.Instance) bool {
	m, ok := o.deps.Members.Member(i.VM())
	return ok && m.Instance().Incarnation() > i.Incarnation()
}

// watchPlatform tracks whether the platform is reachable; a recent
// configuration update makes a probe unnecessary.
func (o *Holdings) watchPlatform(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		wait := platformProbeInterval
		if o.deps.Config.Age() < platformProbeInterval {
			failures = 0
		} else if _, _, err := o.readPairing(ctx, o.deps.Self); err != nil {
			failures++
			wait = platformRetryInterval
		} else {
			failures = 0
		}
		o.mu.Lock()
		o.platformDown = failures > 1
		o.mu.Unlock()
		o.pause(ctx, wait)
	}
}

// uptime returns a lower bound of how long this process has run.
func (o *Holdings) uptime() time.Duration { return o.deps.Clock.Since(o.started) }

func (o *Holdings) platformUnreachable() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.platformDown
}

// Holding returns the holding in which new trees are created here.
func (o *Holdings) Holding() hawthornrail.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.own.holding
}

// Holds reports whether this VM is the holder of a holding.
func (o *Holdings) Holds(holding hawthornrail.Instance) bool {
	_, ok := o.find(holding)
	return ok
}

// Pairings returns the pairings of the holdings that this VM holds.
func (o *Holdings) Pairings() map[hawthornrail.Instance]pair.Pairing {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make(map[hawthornrail.Instance]pair.Pairing, len(o.local))
	for holding, h := range o.local {
		h.mu.Lock()
		all[holding] = h.holder.Pairing()
		h.mu.Unlock()
	}
	return all
}

func (o *Holdings) find(holding hawthornrail.Instance) (*localHolding, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.local[holding]
	return h, ok
}

// renewOwn opens another holding for new programs if the current one is stuck.
func (o *Holdings) renewOwn(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining || !o.own.stuck() {
		return
	}
	now := uint64(o.deps.Clock.Now().UnixMilli())
	holding := hawthornrail.NewInstance(o.deps.Self.VM(), o.deps.Self.DataCentre(), now)
	o.own = newLocalHolding(o, holding, 1)
	o.local[holding] = o.own
	go o.own.run(ctx)
}

func (o *Holdings) drop(h *localHolding) {
	o.mu.Lock()
	if o.local[h.holding] == h {
		delete(o.local, h.holding)
	}
	o.mu.Unlock()
	o.home.Drop(h.holding)
}

// adoptTakeover makes this VM the holder of a holding that it took over.
func (o *Holdings) adoptTakeover(t replica.Takeover) {
	ctx := o.ctx
	o.home.Adopt(t.Trees())
	h := newLocalHolding(o, t.Holding(), t.Pairing().Epoch())
	o.mu.Lock()
	o.local[t.Holding()] = h
	o.mu.Unlock()
	o.deps.Log.Event(events.HoldingTaken).Str("holding", t.Holding().String()).
		Str("pairing", t.Pairing().String()).Int("trees", len(t.Trees())).Emit()
	go h.run(ctx)
	go o.home.Settle(ctx, t.Holding())
}

func (o *Holdings) takeOver(ctx context.Context, due replica.DueTakeover) {
	if due.Change() == pair.ChangeSolo {
		if t, ok := o.deps.Replicas.TakeOverSolo(due.Holding()); ok {
			o.adoptTakeover(t)
		}
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.takeovers[due.Holding()] {
		return
	}
	o.takeovers[due.Holding()] = true
	go func() {
		o.takeOverByPlatform(ctx, due.Holding())
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.takeovers, due.Holding())
	}()
}

// takeOverByPlatform attempts the conditional update once; if the write fails
// it reads the object again to learn the result.
func (o *Holdings) takeOverByPlatform(ctx context.Context, holding hawthornrail.Instance) {
	found, version, err := o.readPairing(ctx, holding)
	if err != nil {
		return
	}
	if t, ok := o.deps.Replicas.Observe(holding, found); ok {
		o.adoptTakeover(t)
		return
	}
	next, ok := o.deps.Replicas.Begin(holding, found)
	if !ok {
		// The copy was offered for a pairing that is not in force, or not in
		// force yet.
		o.pause(ctx, unusableOfferDelay)
		return
	}
	if err := o.writePairing(ctx, holding, version, next); err != nil {
		if next, _, err = o.readPairing(ctx, holding); err != nil {
			return
		}
	}
	if t, ok := o.deps.Replicas.Observe(holding, next); ok {
		o.adoptTakeover(t)
	}
}
