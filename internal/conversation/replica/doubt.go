package replica

import (
	"maps"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/store"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// minDoubt is how long a loss makes turns uncertain at least: the configuration may be
// unknown yet.
const minDoubt = time.Minute

// loadDisks reads which disks other VMs had when this one stopped. If it holds turns, was not
// whole and does not know, what was lost meanwhile is unknown.
func (r *Replica) loadDisks() {
	disks, known, err := r.deps.Store.Disks()
	if err != nil {
		r.deps.Log.Event(events.TurnStoreFailed).Err(err).Emit()
	}
	r.disks = disks
	if r.disks == nil {
		r.disks = make(map[string]uint64)
	}
	switch {
	case known || r.whole:
	case r.deps.Store.Stats().Turns() > 0:
		r.beginDoubt()
	default:
		// A new folder is told from that of an older build by its record.
		r.disksChanged = true
		r.saveDisks()
	}
}

// saveDisks records which disks other VMs have, until this VM is whole. If that fails, the next
// round does it again.
func (r *Replica) saveDisks() {
	r.mu.Lock()
	disks, changed := maps.Clone(r.disks), r.disksChanged && !r.whole
	r.mu.Unlock()
	if !changed {
		return
	}
	if err := r.deps.Store.SaveDisks(disks); err != nil {
		r.deps.Log.Event(events.TurnStoreFailed).Err(err).Emit()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disksChanged = !maps.Equal(disks, r.disks)
}

// noteDisk records which disk a VM has; r.mu must be held. If that of before is lost, and this
// VM has neither been whole since its own disk was new nor read all that the other one had,
// nobody may hold turns that are kept. Builds that do not name their disks are not followed.
func (r *Replica) noteDisk(vm hawthornrail.VM, known *progress, reply *vmpb.TurnListReply, now time.Time) {
	known.doubtUntil = now.Add(time.Duration(reply.GetDoubtMs()) * time.Millisecond)
	before, seen := r.disks[vm.Address()]
	if reply.GetDisk() == 0 || before == reply.GetDisk() {
		return
	}
	r.disks[vm.Address()] = reply.GetDisk()
	r.disksChanged = true
	if seen && !r.whole && !known.hasAll() {
		r.beginDoubt()
		r.deps.Log.Event(events.TurnsMayBeLost).Str("vm", vm.Name()).Str("address", vm.Address()).
			Int("missing", len(known.missing)).Millis("doubt_ms", r.doubtUntil.Sub(now)).Emit()
	}
}

// beginDoubt lets turns be uncertain until those that may be lost have expired; r.mu must be
// held.
func (r *Replica) beginDoubt() {
	longest := max(minDoubt, r.deps.Config.Snapshot().Retention()+store.ExpiryMargin)
	r.doubtUntil = r.deps.Clock.Now().Add(longest)
}

// doubt returns how much longer turns may be kept that no VM holds, as far as this VM knows by
// itself.
func (r *Replica) doubt() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.doubtUntil.Sub(r.deps.Clock.Now()))
}

// markWhole records that this VM has all turns that it should; r.mu must be held. If that
// fails, it is done again later.
func (r *Replica) markWhole() {
	if err := r.deps.Store.MarkWhole(); err != nil {
		r.deps.Log.Event(events.TurnStoreFailed).Err(err).Emit()
		return
	}
	r.whole = true
}
