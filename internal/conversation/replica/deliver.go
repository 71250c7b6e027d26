package replica

import (
	"context"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/store"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/policy/placement"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// deliverInterval is the interval at which the platform's store is asked for kept turns
	// while it has some, and idleDeliverInterval that while it has none.
	deliverInterval     = time.Second
	idleDeliverInterval = 3 * time.Second
	// deliverDelay is how long the VM that kept a turn has for its copies by itself.
	deliverDelay = 3 * time.Second
	// saveTimeout bounds a request that writes a turn to a disk.
	saveTimeout = 2 * time.Second
)

// keptState is what is remembered of a kept turn between two rounds.
type keptState struct {
	// seen is when it was first listed, and copies the number of disks that had it then.
	seen   time.Time
	copies int
}

// delivery stores the turns that the platform's store keeps on disks. Only its loop uses it.
type delivery struct {
	replica *Replica
	// states are of the objects of the last round, by their revisions.
	states map[uint64]keptState
}

// deliverLoop delivers kept turns until ctx ends.
func (r *Replica) deliverLoop(ctx context.Context) {
	d := &delivery{replica: r}
	for pause := idleDeliverInterval; clock.Wait(ctx, r.deps.Clock, pause); {
		pause = idleDeliverInterval
		// If the store can't be read, the next round finds the turns.
		if listed, err := d.round(ctx); err == nil && listed > 0 {
			pause = deliverInterval
		}
	}
}

// round reads all kept turns, delivers those that are due, and returns how many there were.
func (d *delivery) round(ctx context.Context) (listed int, err error) {
	r := d.replica
	states := make(map[uint64]keptState)
	delivered := 0
	for after, more := "", true; more; more = after != "" {
		var page []hawthornrail.KeptTurn
		if page, after, err = r.deps.Keeper.KeptPage(ctx, after); err != nil {
			return 0, err
		}
		for _, k := range page {
			listed++
			state, known := d.states[k.Revision()]
			if !known {
				state.seen = r.deps.Clock.Now()
			}
			if d.deliver(ctx, k, &state) {
				delivered++
			}
			states[k.Revision()] = state
		}
	}
	d.states = states
	r.kept.Store(int64(listed - delivered))
	if delivered > 0 {
		r.deps.Log.Event(events.KeptTurnsDelivered).Int("delivered", delivered).Int("remain", listed-delivered).Emit()
	}
	return listed, nil
}

// deliver makes the copies of a kept turn, if that is due and up to this VM, and reports
// whether it has removed the turn from the platform's store.
func (d *delivery) deliver(ctx context.Context, k hawthornrail.KeptTurn, state *keptState) bool {
	r := d.replica
	age := r.deps.Clock.Since(state.seen)
	if age < deliverDelay {
		return false
	}
	v := r.refresh()
	targets := placement.Select(v.vms, k.Turn().PlacementKey(), v.copies, r.detector.Suspected)
	if len(targets) == 0 || targets[0].Address() != r.deps.Address {
		return false
	}
	if len(targets) > state.copies {
		state.copies = r.saveAtAll(ctx, targets, k.Turn())
	}
	expired := age > k.Turn().Retention()+store.ExpiryMargin
	if state.copies < v.copies && !expired {
		return false
	}
	return r.deps.Keeper.Remove(ctx, k) == nil
}

// saveAtAll stores a turn at VMs and returns how many have it.
func (r *Replica) saveAtAll(ctx context.Context, vms []hawthornrail.VM, t hawthornrail.Turn) int {
	copies := 0
	for _, vm := range vms {
		if r.saveAt(ctx, vm, t) {
			copies++
		}
	}
	return copies
}

// saveAt stores a turn at a VM, which may be this one.
func (r *Replica) saveAt(ctx context.Context, vm hawthornrail.VM, t hawthornrail.Turn) bool {
	message := &vmpb.TurnSave{Turn: convert.TurnToWire(t)}
	if vm.Address() == r.deps.Address {
		return r.save(message).GetSaved()
	}
	var reply vmpb.TurnSaveReply
	err := r.invoke(ctx, vm, saveTimeout, &vmpb.Open{Kind: &vmpb.Open_TurnSave{TurnSave: message}}, &reply)
	return err == nil && reply.GetSaved()
}
