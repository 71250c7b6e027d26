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
	"hawthornrail.example/hawthornrail/internal/vm/convert"
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
	// fetchTime is how long a round fetches at most. Then the logs are read again, since
	// newer turns go first.
	fetchTime = time.Second
	// maxAwaited bounds the missing ancestors that a round fetches.
	maxAwaited = 1000
	// maxPages bounds the pages of a log that a round reads.
	maxPages = 100
)

// Repair reads the logs of the other VMs, fetches the turns that are missing here, the newest
// first, and reports whether more follows at once.
func (r *Replica) Repair(ctx context.Context) (more bool) {
	v := r.refresh()
	others := v.others(r.deps.Address)
	var follows atomic.Bool
	var running sync.WaitGroup
	for _, vm := range others {
		running.Go(func() {
			if r.pullAll(ctx, vm) {
				follows.Store(true)
			}
		})
	}
	running.Wait()
	r.saveDisks()
	if r.fetchNewest(ctx, others) {
		follows.Store(true)
	} else {
		r.fetchAwaited(ctx, others)
	}
	r.isCertain()
	return follows.Load()
}

// pullAll reads a VM's log from where it was read to, and reports whether more follows.
func (r *Replica) pullAll(ctx context.Context, vm hawthornrail.VM) (more bool) {
	for range maxPages {
		if more = r.pull(ctx, vm); !more {
			return false
		}
	}
	return more
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
	missing := r.missing(reply.GetTurns())
	r.mu.Lock()
	defer r.mu.Unlock()
	known, listed := r.peers[vm.Address()]
	if !listed {
		return false
	}
	r.noteDisk(vm, known, &reply, askedAt)
	samePart := known.epoch == reply.GetEpoch()
	if !samePart {
		// The list began anew.
		known.missing = nil
	}
	known.addMissing(missing, askedAt)
	known.epoch, known.after = reply.GetEpoch(), reply.GetPosition()
	known.pulled = !reply.GetMore() || known.pulled && samePart
	if !reply.GetMore() {
		known.pulledAt = askedAt
	}
	return reply.GetMore()
}

// missing returns those of listed turns that are not stored here.
func (r *Replica) missing(listed []*vmpb.TurnListed) []missingTurn {
	turns := make([]missingTurn, 0, len(listed))
	for _, t := range listed {
		turns = append(turns, missingTurn{ref: convert.TurnRefFromWire(t.GetRef()), contentBytes: int64(t.GetContentBytes()), completedMS: t.GetCompletedUnixMs()})
	}
	return r.stillMissing(turns)
}

// stillMissing returns those of the turns that are not stored here.
func (r *Replica) stillMissing(turns []missingTurn) []missingTurn {
	refs := make([]hawthornrail.TurnRef, 0, len(turns))
	for _, t := range turns {
		refs = append(refs, t.ref)
	}
	absent := make(map[hawthornrail.TurnRef]bool)
	for _, ref := range r.deps.Store.Missing(refs) {
		absent[ref] = true
	}
	return slices.DeleteFunc(turns, func(t missingTurn) bool { return !absent[t.ref] })
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

// fetchNewest fetches missing turns from the VMs that list them, the newest first, for
// fetchTime at most, and reports whether others are still missing and can be fetched at once.
func (r *Replica) fetchNewest(ctx context.Context, vms []hawthornrail.VM) (more bool) {
	r.setPace()
	failed := make(map[string]bool)
	for start := r.deps.Clock.Now(); r.deps.Clock.Since(start) < fetchTime; {
		vm, turns, ok := r.takeNewest(vms, failed)
		if !ok {
			r.paceDone(len(failed) == 0)
			return false
		}
		rest, err := r.fetchAll(ctx, vm, turns)
		r.endFetch(vm, rest)
		if err != nil {
			failed[vm.Address()] = true
			r.deps.Log.Event(events.RepairDelayed).Str("vm", vm.Name()).Str("address", vm.Address()).Err(err).Emit()
		}
	}
	return true
}

// takeNewest takes the newest missing turns of the VM that lists the newest, among those that
// have not failed.
func (r *Replica) takeNewest(vms []hawthornrail.VM, failed map[string]bool) (from hawthornrail.VM, turns []missingTurn, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var source *progress
	var newest int64
	for _, vm := range vms {
		p := r.peers[vm.Address()]
		if p == nil || failed[vm.Address()] {
			continue
		}
		if at, any := p.newest(); any && (source == nil || at > newest) {
			from, source, newest = vm, p, at
		}
	}
	if source == nil {
		return from, nil, false
	}
	return from, source.takeNewest(fetchRefs), true
}

// endFetch records which of the taken turns are still missing. If any are, what their VM lists
// may not have been read.
func (r *Replica) endFetch(vm hawthornrail.VM, rest []missingTurn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, known := r.peers[vm.Address()]
	if !known {
		return
	}
	p.fetching = false
	p.pulled = p.pulled && len(rest) == 0
	p.addMissing(rest, r.deps.Clock.Now())
}

// fetchAll fetches those of a VM's turns that are missing here, and returns what remains
// after an error. A turn that the VM no longer holds has expired or is listed again.
func (r *Replica) fetchAll(ctx context.Context, vm hawthornrail.VM, turns []missingTurn) (rest []missingTurn, err error) {
	for rest = r.stillMissing(turns); len(rest) > 0; {
		fetched, err := r.fetch(ctx, vm, refsOf(rest))
		if err != nil {
			return rest, err
		}
		if len(fetched) == 0 {
			return nil, nil
		}
		rest = without(rest, fetched)
	}
	return nil, nil
}

func refsOf(turns []missingTurn) []hawthornrail.TurnRef {
	refs := make([]hawthornrail.TurnRef, 0, len(turns))
	for _, t := range turns {
		refs = append(refs, t.ref)
	}
	return refs
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
		if t := convert.TurnFromWire(m); slices.Contains(refs, t.Ref()) {
			turns = append(turns, t)
			size += len(t.Input()) + len(t.Output())
		}
	}
	if err := r.pace.limiter.WaitN(ctx, min(size, r.pace.limiter.Burst())); err != nil {
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
	var awaited []missingTurn
	for _, ref := range r.deps.Store.Awaited(maxAwaited) {
		awaited = append(awaited, missingTurn{ref: ref})
	}
	for _, vm := range vms {
		if len(awaited) == 0 || ctx.Err() != nil {
			return
		}
		if r.detector.Suspected(vm.Address()) {
			continue
		}
		if _, err := r.fetchAll(ctx, vm, slices.Clone(awaited)); err == nil {
			awaited = r.stillMissing(awaited)
		}
	}
}
