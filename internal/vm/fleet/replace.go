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

// maxOfferBytes bounds the trees in one message of a full copy.
const maxOfferBytes = 4 << 20

// replace copies the holding to another VM and makes that its backup.
func (h *held) replace(ctx context.Context) {
	if h.settle(ctx) {
		return
	}
	h.askRestarted(ctx)
	h.mu.Lock()
	change := h.holder.MayReplace()
	h.mu.Unlock()
	if change == pair.ChangeByPlatform {
		if _, _, err := h.holdings.read(ctx, h.holding); err != nil {
			change = pair.ChangeNone
		}
	}
	if change == pair.ChangeNone {
		h.beat(ctx)
		return
	}
	for _, v := range h.candidates() {
		instance, ok := h.greet(ctx, v)
		if ok && h.replaceBy(ctx, instance, v.Address(), change) {
			return
		}
	}
	h.beat(ctx)
}

// candidates returns the VMs that may be the backup: those of the data centre
// after this one by name, and then those of the others.
func (h *held) candidates() []hawthornrail.VM {
	self := h.holdings.parts.Self
	var after, before, others []hawthornrail.VM
	for _, v := range h.holdings.parts.Config.Snapshot().VMs() {
		m, known := h.holdings.parts.Members.Member(v.Name())
		switch {
		case v.Name() == self.VM() || v.Leaving() || known && m.Leaving():
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

// askRestarted finds out whether the backup's VM runs a later instance, and
// since when.
func (h *held) askRestarted(ctx context.Context) {
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
	now := h.holdings.parts.Clock.Now()
	h.mu.Lock()
	h.holder.Ended(now.Add(-time.Duration(reply.GetUptimeMs()) * time.Millisecond))
	proved := h.holder.MayReplace() != pair.ChangeNone
	h.mu.Unlock()
	if proved {
		return
	}
	if began, ok := h.askOffered(ctx, p); ok {
		h.mu.Lock()
		h.holder.Unclaimed(began)
		h.mu.Unlock()
	}
}

// askOffered asks every other VM whether it was offered a later copy; it
// returns when the last of them began to run.
func (h *held) askOffered(ctx context.Context, p pair.Pairing) (time.Time, bool) {
	var latest time.Time
	for _, v := range h.holdings.parts.Config.Snapshot().VMs() {
		if v.Name() == p.Holder().VM() || v.Name() == p.Backup().VM() {
			continue
		}
		reply, _, err := h.whoHolds(ctx, v.Address())
		if err != nil || reply.GetSeenEpoch() > p.Epoch() || reply.GetEpoch() > 0 {
			return latest, false
		}
		began := h.holdings.parts.Clock.Now().Add(-time.Duration(reply.GetUptimeMs()) * time.Millisecond)
		if began.After(latest) {
			latest = began
		}
	}
	return latest, true
}

func (h *held) whoHolds(ctx context.Context, address string) (*vmpb.WhoHoldsReply, hawthornrail.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, pairTimeout)
	defer cancel()
	var reply vmpb.WhoHoldsReply
	open := &vmpb.Open{Kind: &vmpb.Open_WhoHolds{WhoHolds: &vmpb.WhoHolds{Holding: h.holding.String()}}}
	remote, err := h.holdings.parts.Client.Ask(ctx, address, open, &reply)
	return &reply, remote, err
}

// greet returns the instance that answers at a VM's address.
func (h *held) greet(ctx context.Context, v hawthornrail.VM) (hawthornrail.Instance, bool) {
	reply, remote, err := h.whoHolds(ctx, v.Address())
	if err != nil {
		return remote, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Supersede(reply.GetEpoch())
	return remote, !h.holder.Superseded()
}

func (h *held) replaceBy(ctx context.Context, instance hawthornrail.Instance, address string, change pair.Change) bool {
	h.hold(true)
	defer h.hold(false)
	h.gate.Lock()
	defer h.gate.Unlock()
	h.mu.Lock()
	offer := pair.NewOffer(h.holder.Next(instance), h.holder.Pairing().Epoch())
	h.mu.Unlock()
	if !h.copyTo(ctx, address, offer) {
		return false
	}
	if change == pair.ChangeAlone {
		h.adopt(offer.Next(), address)
		h.beat(ctx)
		return true
	}
	return h.attempt(ctx, offer.Next(), address)
}

// hold refuses steps while the backup is replaced, and ends those under way.
func (h *held) hold(replacing bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replacing = replacing
	h.stopSteps()
	h.steps, h.stopSteps = context.WithCancel(context.Background())
}

func (h *held) adopt(p pair.Pairing, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Adopt(p, h.holdings.parts.Clock.Now())
	h.adopted(p, address)
}

func (h *held) adopted(p pair.Pairing, address string) {
	h.address = address
	h.holdings.parts.Log.Event(events.BackupChanged).Str("holding", h.holding.String()).Str("pairing", p.String()).Emit()
}

// attempt asks the platform to decide; the address is kept for when it does.
func (h *held) attempt(ctx context.Context, next pair.Pairing, address string) bool {
	found, version, err := h.holdings.read(ctx, h.holding)
	if err != nil {
		return false
	}
	h.mu.Lock()
	h.holder.Observe(found, h.holdings.parts.Clock.Now())
	if h.holder.Superseded() {
		h.mu.Unlock()
		return true
	}
	h.holder.Attempt(next)
	h.address = address
	h.mu.Unlock()
	if h.holdings.write(ctx, h.holding, version, next) == nil {
		h.adopt(next, address)
		h.beat(ctx)
		return true
	}
	h.settle(ctx)
	return true
}

// settle finds out what became of an update without an answer and repeats it
// where it has not taken effect; it reports whether there is one.
func (h *held) settle(ctx context.Context) bool {
	h.mu.Lock()
	next, attempting := h.holder.Attempting()
	h.mu.Unlock()
	if !attempting {
		return false
	}
	found, version, err := h.holdings.read(ctx, h.holding)
	if err != nil {
		return true
	}
	h.mu.Lock()
	decided := h.holder.Observe(found, h.holdings.parts.Clock.Now())
	if decided && !h.holder.Superseded() {
		h.adopted(next, h.address)
	}
	superseded := h.holder.Superseded()
	h.mu.Unlock()
	if !decided && !superseded && h.holdings.write(ctx, h.holding, version, next) == nil {
		h.adopt(next, h.address)
	}
	return true
}

// copyTo sends all trees of the holding in parts.
func (h *held) copyTo(ctx context.Context, address string, offer pair.Offer) bool {
	part := &vmpb.PairOffer{Holding: h.holding.String(), Epoch: offer.Next().Epoch(), Held: offer.Held(), First: true}
	size := 0
	for _, t := range h.holdings.home.Trees(h.holding) {
		tree, err := treeToWire(h.holdings.parts.Self, t.Steps())
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

func (h *held) sendPart(ctx context.Context, address string, offer pair.Offer, part *vmpb.PairOffer) bool {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var reply vmpb.PairReply
	open := &vmpb.Open{Kind: &vmpb.Open_PairOffer{PairOffer: part}}
	remote, err := h.holdings.parts.Client.Ask(ctx, address, open, &reply)
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
	tree, err := treeToWire(o.parts.Self, steps)
	if err != nil {
		return unreplicated(err)
	}
	nothing := func() error { return nil }
	return h.step(ctx, nothing, func(p pair.Pairing) *vmpb.Open {
		return &vmpb.Open{Kind: &vmpb.Open_PairSync{PairSync: &vmpb.PairSync{
			Holding: h.holding.String(), Epoch: p.Epoch(), Number: h.synced.Add(1), Tree: tree,
		}}}
	})
}
