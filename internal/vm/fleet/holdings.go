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
	takeoverTick   = 100 * time.Millisecond
	pairTimeout    = 400 * time.Millisecond
	platformPeriod = 5 * time.Second
	platformRetry  = time.Second
	platformWait   = time.Second
	stuckTimeout   = 2 * time.Second
	offeredPeriod  = 3 * time.Second
	leavePoll      = 50 * time.Millisecond
)

// HoldingsParts are what Holdings work with.
type HoldingsParts struct {
	Self     hawthornrail.Instance
	Clock    hawthornrail.Clock
	Config   hawthornrail.Configuration
	Members  hawthornrail.Membership
	Client   *peer.Client
	Platform *client.Client
	Replicas *replica.Store
	Log      events.Logger
}

// Holdings are the holdings whose steps this VM takes; they implement
// hawthornrail.Replicator.
type Holdings struct {
	parts   HoldingsParts
	started time.Time
	home    *home.Home
	ctx     context.Context

	mu      sync.Mutex
	own     *held
	held    map[hawthornrail.Instance]*held
	taking  map[hawthornrail.Instance]bool
	away    bool
	leaving bool
}

// NewHoldings returns the holdings of a new process: one without programs.
func NewHoldings(parts HoldingsParts) *Holdings {
	o := &Holdings{
		parts: parts, started: parts.Clock.Now(), held: make(map[hawthornrail.Instance]*held),
		taking: make(map[hawthornrail.Instance]bool),
	}
	o.own = newHeld(o, parts.Self, 1)
	o.held[parts.Self] = o.own
	return o
}

// SetHome names the home that the trees of these holdings stand in; it must
// be called before Run.
func (o *Holdings) SetHome(h *home.Home) { o.home = h }

// Start begins to run the holdings until ctx ends.
func (o *Holdings) Start(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctx = ctx
	for _, h := range o.held {
		go h.run(ctx)
	}
}

// Run takes over holdings of other VMs until ctx ends; Start must come first.
func (o *Holdings) Run(ctx context.Context) {
	go o.watchPlatform(ctx)
	for ctx.Err() == nil {
		o.renewOwn(ctx)
		for _, due := range o.parts.Replicas.Tick(o.ended) {
			o.takeOver(ctx, due)
		}
		o.pause(ctx, takeoverTick)
	}
}

func (o *Holdings) pause(ctx context.Context, d time.Duration) {
	clock.Wait(ctx, o.parts.Clock, d)
}

// ended reports whether a later run of the instance's VM was heard of.
func (o *Holdings) ended(i hawthornrail.Instance) bool {
	m, ok := o.parts.Members.Member(i.VM())
	return ok && m.Instance().Incarnation() > i.Incarnation()
}

// watchPlatform notes whether the platform answers; news of the configuration
// saves the probe.
func (o *Holdings) watchPlatform(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		wait := platformPeriod
		if o.parts.Config.Age() < platformPeriod {
			failures = 0
		} else if _, _, err := o.read(ctx, o.parts.Self); err != nil {
			failures++
			wait = platformRetry
		} else {
			failures = 0
		}
		o.mu.Lock()
		o.away = failures > 1
		o.mu.Unlock()
		o.pause(ctx, wait)
	}
}

// uptime returns how long this process has run, or somewhat less.
func (o *Holdings) uptime() time.Duration { return o.parts.Clock.Since(o.started) }

func (o *Holdings) platformAway() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.away
}

// Holding returns the instance under which new trees are created here.
func (o *Holdings) Holding() hawthornrail.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.own.holding
}

// Holds reports whether this VM takes the steps of a holding.
func (o *Holdings) Holds(holding hawthornrail.Instance) bool {
	_, ok := o.find(holding)
	return ok
}

// Pairings returns the holdings whose steps this VM takes.
func (o *Holdings) Pairings() map[hawthornrail.Instance]pair.Pairing {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make(map[hawthornrail.Instance]pair.Pairing, len(o.held))
	for holding, h := range o.held {
		h.mu.Lock()
		all[holding] = h.holder.Pairing()
		h.mu.Unlock()
	}
	return all
}

func (o *Holdings) find(holding hawthornrail.Instance) (*held, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.held[holding]
	return h, ok
}

// renewOwn opens another holding for new programs while the present one can't
// take steps.
func (o *Holdings) renewOwn(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leaving || !o.own.stuck() {
		return
	}
	now := uint64(o.parts.Clock.Now().UnixMilli())
	holding := hawthornrail.NewInstance(o.parts.Self.VM(), o.parts.Self.DataCentre(), now)
	o.own = newHeld(o, holding, 1)
	o.held[holding] = o.own
	go o.own.run(ctx)
}

func (o *Holdings) drop(h *held) {
	o.mu.Lock()
	if o.held[h.holding] == h {
		delete(o.held, h.holding)
	}
	o.mu.Unlock()
	o.home.Drop(h.holding)
}

// become makes this VM the holder of a holding that it took over.
func (o *Holdings) become(t replica.Taken) {
	ctx := o.ctx
	o.home.Adopt(t.Trees())
	h := newHeld(o, t.Holding(), t.Pairing().Epoch())
	o.mu.Lock()
	o.held[t.Holding()] = h
	o.mu.Unlock()
	o.parts.Log.Event(events.HoldingTaken).Str("holding", t.Holding().String()).
		Str("pairing", t.Pairing().String()).Int("trees", len(t.Trees())).Emit()
	go h.run(ctx)
	go o.home.Settle(ctx, t.Holding())
}

func (o *Holdings) takeOver(ctx context.Context, due replica.Due) {
	if due.Change() == pair.ChangeAlone {
		if t, ok := o.parts.Replicas.TakeAlone(due.Holding()); ok {
			o.become(t)
		}
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.taking[due.Holding()] {
		return
	}
	o.taking[due.Holding()] = true
	go func() {
		o.takeByPlatform(ctx, due.Holding())
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.taking, due.Holding())
	}()
}

// takeByPlatform tries the conditional update once and settles it by reading
// back.
func (o *Holdings) takeByPlatform(ctx context.Context, holding hawthornrail.Instance) {
	found, version, err := o.read(ctx, holding)
	if err != nil {
		return
	}
	if t, ok := o.parts.Replicas.Observe(holding, found); ok {
		o.become(t)
		return
	}
	next, ok := o.parts.Replicas.Begin(holding, found)
	if !ok {
		// The copy was offered for a pairing that is not in force, or not yet.
		o.pause(ctx, offeredPeriod)
		return
	}
	if err := o.write(ctx, holding, version, next); err != nil {
		if next, _, err = o.read(ctx, holding); err != nil {
			return
		}
	}
	if t, ok := o.parts.Replicas.Observe(holding, next); ok {
		o.become(t)
	}
}
