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

// DrainReplicas drains the replicas kept for other VMs: it resigns as their
// backup, so that the holders choose another one, and accepts no new copies.
func (o *Holdings) DrainReplicas() {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	o.deps.Replicas.Resign()
}

// HandOff hands each holding off to its backup once the calls in flight have
// ended, and waits until no other VM needs a replica kept here.
func (o *Holdings) HandOff(ctx context.Context) error {
	o.mu.Lock()
	holdings := make([]*localHolding, 0, len(o.local))
	for _, h := range o.local {
		holdings = append(holdings, h)
	}
	o.mu.Unlock()
	var errs []error
	for _, h := range holdings {
		if err := h.handOff(ctx); err != nil {
			o.deps.Log.Event(events.HandOffFailed).Str("holding", h.holding.String()).Err(err).Emit()
			errs = append(errs, err)
		}
	}
	for ctx.Err() == nil && o.deps.Replicas.NeededCopies(2*pair.HeartbeatInterval) > 0 {
		o.pause(ctx, handOffPollInterval)
	}
	return errors.Join(errs...)
}

// handOff releases the holding to its backup and retries until the backup
// replies.
func (h *localHolding) handOff(ctx context.Context) error {
	o := h.holdings
	o.home.StopAdmitting(h.holding)
	o.home.WaitIdle(ctx, h.holding)
	if len(o.home.Trees(h.holding)) == 0 {
		return nil
	}
	for ctx.Err() == nil && !h.superseded() {
		if h.release() && h.sendHandOff(ctx) {
			o.deps.Log.Event(events.HoldingHandedOff).Str("holding", h.holding.String()).Emit()
			o.drop(h)
			return nil
		}
		h.wake()
		o.pause(ctx, handOffPollInterval)
	}
	if h.superseded() {
		return nil
	}
	return fmt.Errorf("hand off %s: %w", h.holding, errNoBackup)
}

func (h *localHolding) release() bool {
	h.stepLock.Lock()
	defer h.stepLock.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Released() || h.holder.Release()
}

// sendHandOff sends the hand-off and reports whether the backup is the holder
// now.
func (h *localHolding) sendHandOff(ctx context.Context) bool {
	h.mu.Lock()
	p, address := h.holder.Pairing(), h.address
	h.mu.Unlock()
	message := &vmpb.HandOver{Holding: h.holding.String(), Epoch: p.Epoch()}
	reply, err := h.request(ctx, address, p.Backup(), &vmpb.Open{Kind: &vmpb.Open_HandOver{HandOver: message}})
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

// heldEpoch returns the epoch in which this VM holds a holding, or 0.
func (o *Holdings) heldEpoch(holding hawthornrail.Instance) uint64 {
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

// supersede records for a holding held here that another VM holds it in a
// later epoch.
func (o *Holdings) supersede(holding hawthornrail.Instance, epoch uint64) {
	if h, ok := o.find(holding); ok {
		h.mu.Lock()
		h.holder.Supersede(epoch)
		h.mu.Unlock()
		h.wake()
	}
}
