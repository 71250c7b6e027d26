package replica

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/store"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// listTimeout bounds a request that is replied to without the disk, and fetchTimeout one
	// that reads up to fetchBytes.
	listTimeout  = time.Second
	fetchTimeout = 5 * time.Second
	// fetchRefs bounds the turns that are asked for at once.
	fetchRefs = 200
	// maxAwaited bounds the missing ancestors that a round fetches.
	maxAwaited = 1000
)

// Repair reads a part of the log of each other VM, fetches the turns that are missing here,
// and reports whether more follows at once.
func (r *Replica) Repair(ctx context.Context) (more bool) {
	v := r.refresh()
	others := v.others(r.deps.Address)
	var follows atomic.Bool
	var running sync.WaitGroup
	for _, vm := range others {
		running.Go(func() {
			if r.pull(ctx, vm) {
				follows.Store(true)
			}
		})
	}
	running.Wait()
	r.fetchAwaited(ctx, others)
	r.isCertain()
	return follows.Load()
}

// pull reads the next part of a VM's log and reports whether more follows.
func (r *Replica) pull(ctx context.Context, vm hawthornrail.VM) bool {
	p := r.progressOf(vm.Address())
	askedAt := r.deps.Clock.Now()
	open := &vmpb.Open{Kind: &vmpb.Open_TurnList{TurnList: &vmpb.TurnList{Address: r.deps.Address, Epoch: p.epoch, After: p.after}}}
	var reply vmpb.TurnListReply
	if err := r.invoke(ctx, vm, listTimeout, open, &reply); err != nil {
		r.recordUnpulled(vm.Address())
		return false
	}
	refs := make([]hawthornrail.TurnRef, 0, len(reply.GetTurns()))
	for _, t := range reply.GetTurns() {
		refs = append(refs, refFromWire(t.GetRef()))
	}
	if err := r.fetchMissing(ctx, vm, refs); err != nil {
		r.recordUnpulled(vm.Address())
		r.deps.Log.Event(events.RepairDelayed).Str("vm", vm.Name()).Str("address", vm.Address()).Err(err).Emit()
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, listed := r.peers[vm.Address()]
	if !listed {
		return false
	}
	samePart := known.epoch == reply.GetEpoch()
	known.epoch, known.after = reply.GetEpoch(), reply.GetPosition()
	known.pulled = !reply.GetMore() || known.pulled && samePart
	if !reply.GetMore() {
		known.pulledAt = askedAt
	}
	return reply.GetMore()
}

// progressOf returns a copy of how far the log of a VM was read.
func (r *Replica) progressOf(address string) progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, known := r.peers[address]
	if !known {
		p = &progress{}
		r.peers[address] = p
	}
	return *p
}

// recordUnpulled records that a VM may have turns that were not read.
func (r *Replica) recordUnpulled(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, known := r.peers[address]; known {
		p.pulled = false
	}
}

// invoke sends a request to a VM and records whether the VM responds.
func (r *Replica) invoke(ctx context.Context, vm hawthornrail.VM, timeout time.Duration, open *vmpb.Open, reply proto.Message) error {
	requestCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := r.deps.Clock.Now()
	_, err := r.deps.Invoker.Invoke(requestCtx, vm.Address(), open, reply)
	if err == nil || errors.Is(err, peer.ErrDeclined) {
		// A VM that declines can't read its disk, or has not opened its store yet.
		r.detector.RecordReply(vm.Address(), sentAt)
		return err
	}
	if ctx.Err() != nil {
		// A cancelled context says nothing about the VM.
		return err
	}
	if r.detector.RecordTimeout(vm.Address(), r.deps.Clock.Now()) {
		r.deps.Log.Event(events.RepairDelayed).Str("vm", vm.Name()).Str("address", vm.Address()).Err(err).Emit()
	}
	return err
}

// fetchMissing fetches those of a VM's turns that are missing here. A turn that the VM no
// longer holds has expired or is listed again.
func (r *Replica) fetchMissing(ctx context.Context, vm hawthornrail.VM, refs []hawthornrail.TurnRef) error {
	r.fetching.Lock()
	defer r.fetching.Unlock()
	missing := r.deps.Store.Missing(refs)
	r.recordMissing(vm.Address(), len(missing))
	for len(missing) > 0 {
		asked := missing[:min(len(missing), fetchRefs)]
		turns, err := r.fetch(ctx, vm, asked)
		if err != nil {
			return err
		}
		if len(turns) == 0 {
			missing = missing[len(asked):]
		} else {
			missing = without(missing, turns)
		}
		r.recordMissing(vm.Address(), len(missing))
	}
	return nil
}

// recordMissing records how many turns of a VM's list are missing here.
func (r *Replica) recordMissing(address string, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, known := r.peers[address]
	if !known {
		return
	}
	if p.missing == 0 {
		p.missingSince = r.deps.Clock.Now()
	}
	p.missing = count
}

// fetch fetches and stores as many of the turns as a VM sends at once.
func (r *Replica) fetch(ctx context.Context, vm hawthornrail.VM, refs []hawthornrail.TurnRef) ([]hawthornrail.Turn, error) {
	open := &vmpb.Open{Kind: &vmpb.Open_TurnFetch{TurnFetch: &vmpb.TurnFetch{Refs: refsToWire(refs)}}}
	var reply vmpb.TurnFetchReply
	if err := r.invoke(ctx, vm, fetchTimeout, open, &reply); err != nil {
		return nil, err
	}
	var turns []hawthornrail.Turn
	size := 0
	for _, m := range reply.GetTurns() {
		if t := turnFromWire(m); slices.Contains(refs, t.Ref()) {
			turns = append(turns, t)
			size += len(t.Input()) + len(t.Output())
		}
	}
	if err := r.limiter.WaitN(ctx, min(size, r.limiter.Burst())); err != nil {
		return nil, err
	}
	if err := r.deps.Store.Append(turns...); err != nil && !errors.Is(err, store.ErrSuperseded) {
		r.recordStored(err)
		return nil, err
	}
	r.repaired.Add(int64(len(turns)))
	return turns, nil
}

// fetchAwaited fetches missing ancestors from whichever VMs hold them.
func (r *Replica) fetchAwaited(ctx context.Context, vms []hawthornrail.VM) {
	refs := r.deps.Store.Awaited(maxAwaited)
	for _, vm := range vms {
		if len(refs) == 0 || ctx.Err() != nil {
			return
		}
		if r.detector.Suspected(vm.Address()) {
			continue
		}
		if r.fetchMissing(ctx, vm, refs) == nil {
			refs = r.deps.Store.Missing(refs)
		}
	}
}
