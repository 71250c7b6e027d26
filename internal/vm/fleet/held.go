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

// replaceRetry is the time between two tries to find a backup.
const replaceRetry = 50 * time.Millisecond

var errNoBackup = errors.New("no backup answers")

// held is a holding whose steps this VM takes.
type held struct {
	holdings *Holdings
	holding  hawthornrail.Instance
	synced   atomic.Uint64
	poke     chan struct{}

	// gate is held shared while a step is under way and exclusively while
	// the pairing changes.
	gate sync.RWMutex

	mu        sync.Mutex
	holder    *pair.Holder
	address   string
	replacing bool
	usable    time.Time
	steps     context.Context
	stopSteps context.CancelFunc
}

func newHeld(o *Holdings, holding hawthornrail.Instance, epoch uint64) *held {
	h := &held{
		holdings: o, holding: holding, poke: make(chan struct{}, 1),
		holder: pair.NewHolder(o.parts.Self, epoch), usable: o.parts.Clock.Now(),
	}
	h.steps, h.stopSteps = context.WithCancel(context.Background())
	return h
}

// run sends heartbeats and replaces the backup until the holding is lost.
func (h *held) run(ctx context.Context) {
	for ctx.Err() == nil {
		if h.superseded() {
			h.holdings.parts.Log.Event(events.HoldingLost).Str("holding", h.holding.String()).Emit()
			h.stopSteps()
			h.holdings.drop(h)
			return
		}
		wait := pair.BeatInterval
		if h.needsBackup() {
			h.replace(ctx)
			wait = replaceRetry
		} else {
			h.beat(ctx)
		}
		select {
		case <-ctx.Done():
		case <-h.poke:
		case <-h.holdings.parts.Clock.After(wait):
		}
	}
}

func (h *held) superseded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Superseded()
}

// single reports whether the configuration lists no other VM of the data
// centre, so that a second copy can't be had.
func (h *held) single() bool {
	self := h.holdings.parts.Self
	for _, v := range h.holdings.parts.Config.Snapshot().VMs() {
		if v.Name() != self.VM() && v.DataCentre() == self.DataCentre() {
			return false
		}
	}
	return true
}

func (h *held) needsBackup() bool {
	single := h.single()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder.Released() {
		return false
	}
	_, attempting := h.holder.Attempting()
	if h.holder.Pairing().Backup().IsZero() {
		return !single || h.holdings.parts.Config.Snapshot().Revision() == 0 || attempting
	}
	return attempting || h.holder.MayReplace() == pair.ChangeAlone || h.holder.Silent(h.holdings.parts.Clock.Now())
}

// stuck reports whether no step could be taken for too long.
func (h *held) stuck() bool {
	single := h.single()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.holdings.parts.Clock.Now()
	if h.stepsNow(single, now) || h.holdings.parts.Config.Snapshot().Revision() == 0 {
		h.usable = now
	}
	return h.holder.Superseded() || now.Sub(h.usable) > stuckTimeout
}

// Ready reports whether programs can be started here: this VM's own holding
// has a backup that answers, or needs none, and the VM is not leaving.
func (o *Holdings) Ready() bool {
	o.mu.Lock()
	own, leaving := o.own, o.leaving
	o.mu.Unlock()
	if leaving || o.parts.Config.Snapshot().Revision() == 0 {
		return false
	}
	single := own.single()
	own.mu.Lock()
	defer own.mu.Unlock()
	return own.stepsNow(single, o.parts.Clock.Now())
}

func (h *held) stepsNow(single bool, now time.Time) bool {
	if h.replacing || !h.holder.MayStep(single) {
		return false
	}
	return h.holder.Pairing().Backup().IsZero() || !h.holder.Silent(now)
}

func (h *held) beat(ctx context.Context) {
	away := h.holdings.platformAway()
	h.mu.Lock()
	if away {
		h.holder.GiveUp()
	}
	p, address := h.holder.Pairing(), h.address
	message := &vmpb.PairBeat{Holding: h.holding.String(), Epoch: p.Epoch(), Grant: h.holder.Grant(), Reclaim: !away}
	released := h.holder.Released()
	h.mu.Unlock()
	if p.Backup().IsZero() || released {
		return
	}
	sent := h.holdings.parts.Clock.Now()
	reply, err := h.ask(ctx, address, p.Backup(), &vmpb.Open{Kind: &vmpb.Open_PairBeat{PairBeat: message}})
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
		h.holder.Acknowledged(sent, h.holdings.parts.Clock.Now())
		h.holder.Returned(reply.GetReturned())
	}
	if reply.GetResigned() {
		h.holder.Resigned()
	}
}

// ask sends a message that only the given instance may answer.
func (h *held) ask(ctx context.Context, address string, to hawthornrail.Instance, open *vmpb.Open) (*vmpb.PairReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pairTimeout)
	defer cancel()
	var reply vmpb.PairReply
	remote, err := h.holdings.parts.Client.Ask(ctx, address, open, &reply)
	if err != nil {
		return nil, err
	}
	if remote != to {
		return nil, fmt.Errorf("%s answered for %s: %w", remote, to, errNoBackup)
	}
	return &reply, nil
}

// Replicate calls apply once the backup holds the step.
func (o *Holdings) Replicate(ctx context.Context, s hawthornrail.Step, apply func() error) error {
	h, ok := o.find(s.Tree().Home())
	if !ok {
		return hawthornrail.NotRun(hawthornrail.CodeMoved, "program %s is not held here", s.Tree()).WithRetryAfter(unreachableRetryAfter)
	}
	return h.step(ctx, apply, func(p pair.Pairing) *vmpb.Open {
		return &vmpb.Open{Kind: &vmpb.Open_Step{Step: convert.StepToWire(o.parts.Self, p.Epoch(), s)}}
	})
}

// step sends a step or a copy to the backup and applies it once that holds it.
func (h *held) step(ctx context.Context, apply func() error, message func(pair.Pairing) *vmpb.Open) error {
	h.gate.RLock()
	defer h.gate.RUnlock()
	single := h.single()
	h.mu.Lock()
	p, address, steps := h.holder.Pairing(), h.address, h.steps
	ready := h.stepsNow(single, h.holdings.parts.Clock.Now())
	h.mu.Unlock()
	if !ready {
		return unreplicated(errNoBackup)
	}
	if p.Backup().IsZero() {
		return apply()
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	stop := context.AfterFunc(steps, cancel)
	defer stop()
	var reply vmpb.StepReply
	remote, err := h.holdings.parts.Client.Ask(ctx, address, message(p), &reply)
	if err != nil || remote != p.Backup() || !reply.GetAccepted() {
		h.wake()
		return unreplicated(fmt.Errorf("backup %s: %w: %s", p.Backup(), errors.Join(errNoBackup, err), reply.GetReason()))
	}
	return apply()
}

func (h *held) wake() {
	select {
	case h.poke <- struct{}{}:
	default:
	}
}
