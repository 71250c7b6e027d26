package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/program/pair"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// replaceRetryInterval is the time between two attempts to find a backup.
const replaceRetryInterval = 50 * time.Millisecond

var errNoBackup = errors.New("no backup answers")

// localHolding is a holding that this VM holds, so that it takes its steps.
type localHolding struct {
	holdings *Holdings
	holding  hawthornrail.Instance
	synced   atomic.Uint64
	wakeup   chan struct{}

	// stepLock is locked for reading while a step is in flight and for writing
	// while the pairing changes.
	stepLock sync.RWMutex

	mu           sync.Mutex
	holder       *pair.Holder
	address      string
	replacing    bool
	lastUsable   time.Time
	stepsContext context.Context
	cancelSteps  context.CancelFunc
}

func newLocalHolding(o *Holdings, holding hawthornrail.Instance, epoch uint64) *localHolding {
	h := &localHolding{
		holdings: o, holding: holding, wakeup: make(chan struct{}, 1),
		holder: pair.NewHolder(o.deps.Self, epoch), lastUsable: o.deps.Clock.Now(),
	}
	h.stepsContext, h.cancelSteps = context.WithCancel(context.Background())
	return h
}

// run sends heartbeats and replaces the backup until the holding is lost.
func (h *localHolding) run(ctx context.Context) {
	for ctx.Err() == nil {
		if h.superseded() {
			h.holdings.deps.Log.Event(events.HoldingLost).Str("holding", h.holding.String()).Emit()
			h.cancelSteps()
			h.holdings.drop(h)
			return
		}
		wait := pair.HeartbeatInterval
		if h.needsBackup() {
			h.replace(ctx)
			wait = replaceRetryInterval
		} else {
			h.sendHeartbeat(ctx)
		}
		select {
		case <-ctx.Done():
		case <-h.wakeup:
		case <-h.holdings.deps.Clock.After(wait):
		}
	}
}

func (h *localHolding) superseded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Superseded()
}

// onlyVM reports whether the configuration lists no other VM in this data
// centre, so that no backup is available.
func (h *localHolding) onlyVM() bool {
	self := h.holdings.deps.Self
	for _, v := range h.holdings.deps.Config.Snapshot().VMs() {
		if v.Name() != self.VM() && v.DataCentre() == self.DataCentre() {
			return false
		}
	}
	return true
}

func (h *localHolding) needsBackup() bool {
	onlyVM := h.onlyVM()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder.Released() {
		return false
	}
	_, attempting := h.holder.Attempting()
	if h.holder.Pairing().Backup().IsZero() {
		return !onlyVM || h.holdings.deps.Config.Snapshot().Revision() == 0 || attempting
	}
	return attempting || h.holder.MayReplace() == pair.ChangeSolo || h.holder.Unresponsive(h.holdings.deps.Clock.Now())
}

// stuck reports whether no step has been possible for stuckTimeout.
func (h *localHolding) stuck() bool {
	onlyVM := h.onlyVM()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.holdings.deps.Clock.Now()
	if h.canStep(onlyVM, now) || h.holdings.deps.Config.Snapshot().Revision() == 0 {
		h.lastUsable = now
	}
	return h.holder.Superseded() || now.Sub(h.lastUsable) > stuckTimeout
}

// Ready reports whether programs can be started here: this VM's own holding
// has a responsive backup or needs none, and the VM is not draining.
func (o *Holdings) Ready() bool {
	o.mu.Lock()
	own, draining := o.own, o.draining
	o.mu.Unlock()
	if draining || o.deps.Config.Snapshot().Revision() == 0 {
		return false
	}
	onlyVM := own.onlyVM()
	own.mu.Lock()
	defer own.mu.Unlock()
	return own.canStep(onlyVM, o.deps.Clock.Now())
}

func (h *localHolding) canStep(onlyVM bool, now time.Time) bool {
	if h.replacing || !h.holder.MayStep(onlyVM) {
		return false
	}
	return h.holder.Pairing().Backup().IsZero() || !h.holder.Unresponsive(now)
}

func (h *localHolding) sendHeartbeat(ctx context.Context) {
	platformDown := h.holdings.platformUnreachable()
	h.mu.Lock()
	if platformDown {
		h.holder.GiveUpRight()
	}
	p, address := h.holder.Pairing(), h.address
	message := &vmpb.PairBeat{Holding: h.holding.String(), Epoch: p.Epoch(), Grant: h.holder.Grant(), Reclaim: !platformDown}
	released := h.holder.Released()
	h.mu.Unlock()
	if p.Backup().IsZero() || released {
		return
	}
	sent := h.holdings.deps.Clock.Now()
	reply, err := h.request(ctx, address, p.Backup(), &vmpb.Open{Kind: &vmpb.Open_PairBeat{PairBeat: message}})
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Supersede(reply.GetHolderEpoch())
	if h.holder.Pairing() != p {
		return
	}
	if reply.GetAccepted() {
		h.holder.Acknowledged(sent, h.holdings.deps.Clock.Now())
		h.holder.Returned(reply.GetReturned())
	}
	if reply.GetResigned() {
		h.holder.Resigned()
	}
}

// request sends a message and fails unless the given instance replies.
func (h *localHolding) request(ctx context.Context, address string, to hawthornrail.Instance, open *vmpb.Open) (*vmpb.PairReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pairRequestTimeout)
	defer cancel()
	var reply vmpb.PairReply
	remote, err := h.holdings.deps.Client.Invoke(ctx, address, open, &reply)
	if err != nil {
		return nil, err
	}
	if remote != to {
		return nil, fmt.Errorf("%s replied in place of %s: %w", remote, to, errNoBackup)
	}
	return &reply, nil
}

// Replicate sends the step to the backup and calls apply once the backup has
// acknowledged it.
func (o *Holdings) Replicate(ctx context.Context, s hawthornrail.Step, apply func() error) error {
	h, ok := o.find(s.Tree().Home())
	if !ok {
		return hawthornrail.NotRun(hawthornrail.CodeMoved, "program %s is not held here", s.Tree()).WithRetryAfter(unreachableRetryAfter)
	}
	return h.step(ctx, apply, func(p pair.Pairing) *vmpb.Open {
		return &vmpb.Open{Kind: &vmpb.Open_Step{Step: convert.StepToWire(o.deps.Self, p.Epoch(), s)}}
	})
}

// step sends a step or a copy to the backup and applies it once the backup has
// acknowledged it.
func (h *localHolding) step(ctx context.Context, apply func() error, message func(pair.Pairing) *vmpb.Open) error {
	h.stepLock.RLock()
	defer h.stepLock.RUnlock()
	onlyVM := h.onlyVM()
	h.mu.Lock()
	p, address, stepsContext := h.holder.Pairing(), h.address, h.stepsContext
	ready := h.canStep(onlyVM, h.holdings.deps.Clock.Now())
	h.mu.Unlock()
	if !ready {
		return unreplicated(errNoBackup)
	}
	if p.Backup().IsZero() {
		return apply()
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	stop := context.AfterFunc(stepsContext, cancel)
	defer stop()
	var reply vmpb.StepReply
	remote, err := h.holdings.deps.Client.Invoke(ctx, address, message(p), &reply)
	if err != nil || remote != p.Backup() || !reply.GetAccepted() {
		h.wake()
		return unreplicated(fmt.Errorf("backup %s: %w: %s", p.Backup(), errors.Join(errNoBackup, err), reply.GetReason()))
	}
	return apply()
}

func (h *localHolding) wake() {
	select {
	case h.wakeup <- struct{}{}:
	default:
	}
}
