package fleet

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/program/pair"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// maxOfferBytes is the size of the trees at which a part of a full copy is sent.
const maxOfferBytes = 4 << 20

// replace copies the holding to another VM and makes that VM the backup.
func (h *localHolding) replace(ctx context.Context) {
	if h.resolveAttempt(ctx) {
		return
	}
	h.checkBackupRestart(ctx)
	h.mu.Lock()
	change := h.holder.MayReplace()
	h.mu.Unlock()
	if change == pair.ChangeByPlatform {
		if _, _, err := h.holdings.readPairing(ctx, h.holding); err != nil {
			change = pair.ChangeNone
		}
	}
	if change == pair.ChangeNone {
		h.sendHeartbeat(ctx)
		return
	}
	for _, v := range h.candidates() {
		instance, ok := h.probeCandidate(ctx, v)
		if ok && h.replaceWith(ctx, instance, v.Address(), change) {
			return
		}
	}
	h.sendHeartbeat(ctx)
}

// candidates returns the VMs that may become the backup: first those of this
// data centre whose names sort after this VM's, then the rest of the data
// centre, and then the VMs of other data centres.
func (h *localHolding) candidates() []hawthornrail.VM {
	self := h.holdings.deps.Self
	var after, before, others []hawthornrail.VM
	for _, v := range h.holdings.deps.Config.Snapshot().VMs() {
		m, known := h.holdings.deps.Members.Member(v.Name())
		switch {
		case v.Name() == self.VM() || v.Draining() || known && m.Draining():
		case v.DataCentre() != self.DataCentre():
			others = append(others, v)
		case v.Name() > self.VM():
			after = append(after, v)
		default:
			before = append(before, v)
		}
	}
	return append(append(after, before...), others...)
}

// checkBackupRestart checks whether the backup's VM runs a later incarnation,
// and since when.
func (h *localHolding) checkBackupRestart(ctx context.Context) {
	h.mu.Lock()
	p, address := h.holder.Pairing(), h.address
	h.mu.Unlock()
	if p.Backup().IsZero() {
		return
	}
	reply, remote, err := h.whoHolds(ctx, address)
	if err != nil || remote.VM() != p.Backup().VM() || remote.Incarnation() <= p.Backup().Incarnation() {
		return
	}
	now := h.holdings.deps.Clock.Now()
	h.mu.Lock()
	h.holder.BackupEnded(now.Add(-time.Duration(reply.GetUptimeMs()) * time.Millisecond))
	mayReplace := h.holder.MayReplace() != pair.ChangeNone
	h.mu.Unlock()
	if mayReplace {
		return
	}
	if began, ok := h.confirmNoLaterOffer(ctx, p); ok {
		h.mu.Lock()
		h.holder.NoLaterOffers(began)
		h.mu.Unlock()
	}
}

// confirmNoLaterOffer checks that no other VM was offered a later copy; it
// returns when the last of them started.
func (h *localHolding) confirmNoLaterOffer(ctx context.Context, p pair.Pairing) (time.Time, bool) {
	var latest time.Time
	for _, v := range h.holdings.deps.Config.Snapshot().VMs() {
		if v.Name() == p.Holder().VM() || v.Name() == p.Backup().VM() {
			continue
		}
		reply, _, err := h.whoHolds(ctx, v.Address())
		if err != nil || reply.GetSeenEpoch() > p.Epoch() || reply.GetEpoch() > 0 {
			return latest, false
		}
		began := h.holdings.deps.Clock.Now().Add(-time.Duration(reply.GetUptimeMs()) * time.Millisecond)
		if began.After(latest) {
			latest = began
		}
	}
	return latest, true
}

func (h *localHolding) whoHolds(ctx context.Context, address string) (*vmpb.WhoHoldsReply, hawthornrail.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, pairRequestTimeout)
	defer cancel()
	var reply vmpb.WhoHoldsReply
	open := &vmpb.Open{Kind: &vmpb.Open_WhoHolds{WhoHolds: &vmpb.WhoHolds{Holding: h.holding.String()}}}
	remote, err := h.holdings.deps.Client.Invoke(ctx, address, open, &reply)
	return &reply, remote, err
}

// probeCandidate returns the instance that replies at a VM's address.
func (h *localHolding) probeCandidate(ctx context.Context, v hawthornrail.VM) (hawthornrail.Instance, bool) {
	reply, remote, err := h.whoHolds(ctx, v.Address())
	if err != nil {
		return remote, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Supersede(reply.GetEpoch())
	return remote, !h.holder.Superseded()
}

func (h *localHolding) replaceWith(ctx context.Context, instance hawthornrail.Instance, address string, change pair.Change) bool {
	h.setReplacing(true)
	defer h.setReplacing(false)
	h.stepLock.Lock()
	defer h.stepLock.Unlock()
	h.mu.Lock()
	offer := pair.NewOffer(h.holder.Next(instance), h.holder.Pairing().Epoch())
	h.mu.Unlock()
	if !h.sendCopy(ctx, address, offer) {
		return false
	}
	if change == pair.ChangeSolo {
		h.adopt(offer.Next(), address)
		h.sendHeartbeat(ctx)
		return true
	}
	return h.attemptByPlatform(ctx, offer.Next(), address)
}

// setReplacing sets whether steps are refused because the backup is being
// replaced, and cancels the steps in flight.
func (h *localHolding) setReplacing(replacing bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replacing = replacing
	h.cancelSteps()
	h.stepsContext, h.cancelSteps = context.WithCancel(context.Background())
}

func (h *localHolding) adopt(p pair.Pairing, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Adopt(p, h.holdings.deps.Clock.Now())
	h.recordBackup(p, address)
}

func (h *localHolding) recordBackup(p pair.Pairing, address string) {
	h.address = address
	h.holdings.deps.Log.Event(events.BackupChanged).Str("holding", h.holding.String()).Str("pairing", p.String()).Emit()
}

// attemptByPlatform changes the backup by an update of the platform's object;
// it keeps the address for the case that the result is learnt later.
func (h *localHolding) attemptByPlatform(ctx context.Context, next pair.Pairing, address string) bool {
	found, version, err := h.holdings.readPairing(ctx, h.holding)
	if err != nil {
		return false
	}
	h.mu.Lock()
	h.holder.Observe(found, h.holdings.deps.Clock.Now())
	if h.holder.Superseded() {
		h.mu.Unlock()
		return true
	}
	h.holder.BeginChange(next)
	h.address = address
	h.mu.Unlock()
	if h.holdings.writePairing(ctx, h.holding, version, next) == nil {
		h.adopt(next, address)
		h.sendHeartbeat(ctx)
		return true
	}
	h.resolveAttempt(ctx)
	return true
}

// resolveAttempt determines the result of an update whose outcome is unknown
// and repeats the update if it has not taken effect; it reports whether there
// was one.
func (h *localHolding) resolveAttempt(ctx context.Context) bool {
	h.mu.Lock()
	next, attempting := h.holder.Attempting()
	h.mu.Unlock()
	if !attempting {
		return false
	}
	found, version, err := h.holdings.readPairing(ctx, h.holding)
	if err != nil {
		return true
	}
	h.mu.Lock()
	decided := h.holder.Observe(found, h.holdings.deps.Clock.Now())
	if decided && !h.holder.Superseded() {
		h.recordBackup(next, h.address)
	}
	superseded := h.holder.Superseded()
	h.mu.Unlock()
	if !decided && !superseded && h.holdings.writePairing(ctx, h.holding, version, next) == nil {
		h.adopt(next, h.address)
	}
	return true
}

// sendCopy sends all trees of the holding in parts.
func (h *localHolding) sendCopy(ctx context.Context, address string, offer pair.Offer) bool {
	part := &vmpb.PairOffer{Holding: h.holding.String(), Epoch: offer.Next().Epoch(), Held: offer.Epoch(), First: true}
	size := 0
	for _, t := range h.holdings.home.Trees(h.holding) {
		tree, err := treeToWire(h.holdings.deps.Self, t.Steps())
		if err != nil {
			return false
		}
		part.Trees = append(part.Trees, tree)
		if size += proto.Size(tree); size < maxOfferBytes {
			continue
		}
		if !h.sendPart(ctx, address, offer, part) {
			return false
		}
		part.Trees, part.First, size = nil, false, 0
	}
	part.Last = true
	return h.sendPart(ctx, address, offer, part)
}

func (h *localHolding) sendPart(ctx context.Context, address string, offer pair.Offer, part *vmpb.PairOffer) bool {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var reply vmpb.PairReply
	open := &vmpb.Open{Kind: &vmpb.Open_PairOffer{PairOffer: part}}
	remote, err := h.holdings.deps.Client.Invoke(ctx, address, open, &reply)
	if err != nil {
		return false
	}
	h.mu.Lock()
	h.holder.Supersede(reply.GetHolderEpoch())
	h.mu.Unlock()
	return remote == offer.Next().Backup() && reply.GetAccepted()
}

func treeToWire(self hawthornrail.Instance, steps []hawthornrail.Step) (*vmpb.TreeCopy, error) {
	tree := &vmpb.TreeCopy{Steps: make([][]byte, 0, len(steps))}
	for _, s := range steps {
		data, err := proto.Marshal(convert.StepToWire(self, 0, s))
		if err != nil {
			return nil, err
		}
		tree.Steps = append(tree.Steps, data)
	}
	return tree, nil
}

func treeFromWire(m *vmpb.TreeCopy) ([]hawthornrail.Step, error) {
	steps := make([]hawthornrail.Step, 0, len(m.GetSteps()))
	for _, data := range m.GetSteps() {
		var step vmpb.Step
		if err := proto.Unmarshal(data, &step); err != nil {
			return nil, err
		}
		s, err := convert.StepFromWire(&step)
		if err != nil {
			return nil, err
		}
		steps = append(steps, s)
	}
	return steps, nil
}

// Sync replaces the backup's copy of a tree.
func (o *Holdings) Sync(ctx context.Context, steps []hawthornrail.Step) error {
	h, ok := o.find(steps[0].Tree().Home())
	if !ok {
		return hawthornrail.NotRun(hawthornrail.CodeMoved, "program %s is not held here", steps[0].Tree()).WithRetryAfter(unreachableRetryAfter)
	}
	tree, err := treeToWire(o.deps.Self, steps)
	if err != nil {
		return unreplicated(err)
	}
	noop := func() error { return nil }
	return h.step(ctx, noop, func(p pair.Pairing) *vmpb.Open {
		return &vmpb.Open{Kind: &vmpb.Open_PairSync{PairSync: &vmpb.PairSync{
			Holding: h.holding.String(), Epoch: p.Epoch(), Number: h.synced.Add(1), Tree: tree,
		}}}
	})
}
