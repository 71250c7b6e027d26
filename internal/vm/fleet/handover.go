package fleet

import (
	"context"
	"errors"
	"fmt"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/program/pair"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// Leave gives up the copies kept for other VMs, so that those choose another
// backup, and takes no new ones.
func (o *Holdings) Leave() {
	o.mu.Lock()
	o.leaving = true
	o.mu.Unlock()
	o.parts.Replicas.Resign()
}

// HandOver makes the backups the holders of all holdings, once the calls
// under way here have ended, and waits until no other VM needs a copy kept
// here.
func (o *Holdings) HandOver(ctx context.Context) error {
	o.mu.Lock()
	list := make([]*held, 0, len(o.held))
	for _, h := range o.held {
		list = append(list, h)
	}
	o.mu.Unlock()
	var errs []error
	for _, h := range list {
		if err := h.handOver(ctx); err != nil {
			o.parts.Log.Event(events.HandOverFailed).Str("holding", h.holding.String()).Err(err).Emit()
			errs = append(errs, err)
		}
	}
	for ctx.Err() == nil && o.parts.Replicas.Needed(2*pair.BeatInterval) > 0 {
		o.pause(ctx, leavePoll)
	}
	return errors.Join(errs...)
}

// handOver releases the holding and tells the backup, again until it answers.
func (h *held) handOver(ctx context.Context) error {
	o := h.holdings
	o.home.Close(h.holding)
	o.home.Idle(ctx, h.holding)
	if len(o.home.Trees(h.holding)) == 0 {
		return nil
	}
	for ctx.Err() == nil && !h.superseded() {
		if h.release() && h.tell(ctx) {
			o.parts.Log.Event(events.HoldingHanded).Str("holding", h.holding.String()).Emit()
			o.drop(h)
			return nil
		}
		h.wake()
		o.pause(ctx, leavePoll)
	}
	if h.superseded() {
		return nil
	}
	return fmt.Errorf("hand over %s: %w", h.holding, errNoBackup)
}

func (h *held) release() bool {
	h.gate.Lock()
	defer h.gate.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Released() || h.holder.Release()
}

// tell sends the hand-over and reports whether the backup holds the holding.
func (h *held) tell(ctx context.Context) bool {
	h.mu.Lock()
	p, address := h.holder.Pairing(), h.address
	h.mu.Unlock()
	message := &vmpb.HandOver{Holding: h.holding.String(), Epoch: p.Epoch()}
	reply, err := h.ask(ctx, address, p.Backup(), &vmpb.Open{Kind: &vmpb.Open_HandOver{HandOver: message}})
	if err != nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if reply.GetResigned() && h.holder.Pairing() == p {
		h.holder.Resigned()
	}
	h.holder.Supersede(reply.GetHolderEpoch())
	return reply.GetAccepted() || h.holder.Superseded()
}

// epoch returns the epoch in which this VM holds a holding, or 0.
func (o *Holdings) epoch(holding hawthornrail.Instance) uint64 {
	h, ok := o.find(holding)
	if !ok {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder.Superseded() || h.holder.Released() {
		return 0
	}
	return h.holder.Pairing().Epoch()
}

// supersede tells a holding held here that another VM holds a later epoch.
func (o *Holdings) supersede(holding hawthornrail.Instance, epoch uint64) {
	if h, ok := o.find(holding); ok {
		h.mu.Lock()
		h.holder.Supersede(epoch)
		h.mu.Unlock()
		h.wake()
	}
}
