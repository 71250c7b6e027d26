package replica

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/store"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// listTurns and listScanned bound the turns in a reply to TurnList and those that are
	// looked at for it.
	listTurns   = 1000
	listScanned = 20_000
	// fetchBytes bounds the content of a reply to TurnFetch with more than one turn.
	fetchBytes = 1 << 20
)

// errUncertain means that the turn is not held, and that this VM may lack turns.
var errUncertain = errors.New("turn may exist")

// Receive serves the requests of other VMs about turns and reports whether open is one. A
// request without a reply is sent to another VM.
func (r *Replica) Receive(ctx context.Context, open *vmpb.Open, s *peer.Stream) bool {
	p := &place{limits: r.limits}
	defer p.release()
	reply, known := r.reply(ctx, open, p)
	if known && reply != nil {
		_ = s.Send(reply)
	}
	return known
}

// reply returns the reply to a request, which is nil if the request is declined. Its content
// is held in a place.
func (r *Replica) reply(ctx context.Context, open *vmpb.Open, p *place) (reply proto.Message, known bool) {
	switch k := open.GetKind().(type) {
	case *vmpb.Open_TurnSave:
		return r.save(k.TurnSave), true
	case *vmpb.Open_ChainLoad:
		return r.load(ctx, k.ChainLoad, p), true
	case *vmpb.Open_TurnList:
		return r.list(k.TurnList), true
	case *vmpb.Open_TurnFetch:
		return r.send(ctx, k.TurnFetch, p), true
	}
	return nil, false
}

// save stores a turn that has just been completed.
func (r *Replica) save(m *vmpb.TurnSave) *vmpb.TurnSaveReply {
	t := convert.TurnFromWire(m.GetTurn())
	// The turn has ended at about this time by this VM's clock, by which it expires; that of
	// the VM that sends it can differ.
	kept := t.Retention() + r.deps.Clock.Now().Sub(t.CompletedAt())
	err := r.deps.Store.Append(t.WithRetention(t.CompletedAt(), kept))
	r.recordStored(err)
	ok, after := r.room.get()
	return &vmpb.TurnSaveReply{Saved: err == nil, Full: !ok, RoomAfterMs: uint64(after.Milliseconds())}
}

// recordStored logs when turns begin and cease to be refused.
func (r *Replica) recordStored(err error) {
	if errors.Is(err, store.ErrSuperseded) || (err != nil) == r.refusing.Load() {
		return
	}
	if !r.refusing.CompareAndSwap(err == nil, err != nil) {
		return
	}
	event := events.TurnsStored
	if err != nil {
		event = events.TurnNotStored
	}
	stats := r.deps.Store.Stats()
	r.deps.Log.Event(event).Err(err).Int("turns", stats.Turns()).Int("bytes", int(stats.Bytes())).Emit()
}

// load returns the chain of a turn or a part of it, which is held in a place.
func (r *Replica) load(ctx context.Context, m *vmpb.ChainLoad, p *place) *vmpb.ChainLoadReply {
	located, err := r.locate(convert.TurnRefFromWire(m.GetRef()))
	if err != nil {
		return &vmpb.ChainLoadReply{State: r.stateOf(err)}
	}
	reply := &vmpb.ChainLoadReply{State: vmpb.ChainState_CHAIN_STATE_FOUND, PlacementKey: located.PlacementKey(), Turns: uint32(located.Turns())}
	offset, limit := partOf(m, located.Size())
	if m.GetMaxBytes() > 0 {
		reply.TotalBytes = uint64(located.Size())
	}
	if limit < located.Size() {
		reply.Digest = located.Digest()
	}
	if !p.take(ctx, limit) {
		return &vmpb.ChainLoadReply{State: vmpb.ChainState_CHAIN_STATE_UNCERTAIN}
	}
	if reply.Content, err = located.Read(offset, limit); err != nil {
		return &vmpb.ChainLoadReply{State: r.stateOf(err)}
	}
	return reply
}

// partOf returns the offset and the size of the part that is requested of a content of a size.
func partOf(m *vmpb.ChainLoad, size int64) (offset, limit int64) {
	offset = int64(min(m.GetOffset(), uint64(size)))
	limit = size - offset
	if m.GetMaxBytes() > 0 {
		limit = int64(min(m.GetMaxBytes(), uint64(limit)))
	}
	return offset, limit
}

// locate finds the chain of a turn.
func (r *Replica) locate(ref hawthornrail.TurnRef) (store.Located, error) {
	located, err := r.deps.Store.Locate(ref)
	if !errors.Is(err, store.ErrUnknown) {
		return located, err
	}
	if !r.isCertain() {
		return located, errUncertain
	}
	// Repair may have stored the turn after the store was asked.
	return r.deps.Store.Locate(ref)
}

// stateOf returns what is known of a turn whose chain can't be returned.
func (r *Replica) stateOf(err error) vmpb.ChainState {
	switch {
	case errors.Is(err, store.ErrUnknown):
		return vmpb.ChainState_CHAIN_STATE_UNKNOWN
	case errors.Is(err, store.ErrForeign):
		return vmpb.ChainState_CHAIN_STATE_FOREIGN
	case errors.Is(err, store.ErrIncomplete):
		r.wake()
	}
	return vmpb.ChainState_CHAIN_STATE_UNCERTAIN
}

// wake lets the next round of repair fetch missing ancestors.
func (r *Replica) wake() {
	select {
	case r.wanted <- struct{}{}:
	default:
		// A round is already due.
	}
}

// list returns the turns after a position that the asking VM should hold. Its epoch covers
// the list of VMs and the suspects too: with others, turns before the position may be among
// those that the VM should hold.
func (r *Replica) list(m *vmpb.TurnList) *vmpb.TurnListReply {
	v := r.refresh()
	reply := &vmpb.TurnListReply{
		Epoch: r.deps.Store.Epoch() ^ v.hash, Incomplete: !r.isCertain(), Disk: r.deps.Store.Epoch(), DoubtMs: uint64(r.doubt().Milliseconds()),
	}
	if m.GetEpoch() == reply.GetEpoch() {
		reply.Position = m.GetAfter()
	}
	for scanned := 0; scanned < listScanned && len(reply.GetTurns()) < listTurns; scanned += listTurns {
		turns, position, more := r.deps.Store.List(reply.GetPosition(), listTurns)
		reply.Position, reply.More = position, more
		reply.Turns = append(reply.Turns, r.forVM(v, turns, m.GetAddress())...)
		if !more {
			break
		}
	}
	return reply
}

// forVM returns those of the turns that the VM at an address should hold.
func (r *Replica) forVM(v *view, turns []store.Listed, address string) []*vmpb.TurnListed {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*vmpb.TurnListed
	for _, t := range turns {
		if v.includes(t.PlacementKey(), address) {
			list = append(list, &vmpb.TurnListed{
				Ref: convert.TurnRefToWire(t.Ref()), PlacementKey: t.PlacementKey(),
				ContentBytes: uint64(t.ContentBytes()), CompletedUnixMs: t.CompletedAt().UnixMilli(),
			})
		}
	}
	return list
}

// send returns the turns that are held, in a place; the request is declined if they can't be
// read, since a turn that is not in the reply counts as one that does not exist.
func (r *Replica) send(ctx context.Context, m *vmpb.TurnFetch, p *place) proto.Message {
	if !p.take(ctx, fetchBytes) {
		return nil
	}
	turns, err := r.deps.Store.Fetch(refsFromWire(m.GetRefs()), fetchBytes)
	if err != nil {
		r.deps.Log.Event(events.TurnUnreadable).Err(err).Emit()
		return nil
	}
	reply := &vmpb.TurnFetchReply{}
	for _, t := range turns {
		reply.Turns = append(reply.Turns, convert.TurnToWire(t))
	}
	return reply
}
