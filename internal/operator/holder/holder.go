package holder

import (
	"context"
	"errors"
	"fmt"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/operator/machine"
	"hawthornrail.example/hawthornrail/internal/operator/node"
	"hawthornrail.example/hawthornrail/internal/program/account"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
)

const (
	// claimInterval is how often a VM looks whether it is the holder.
	claimInterval = 500 * time.Millisecond
	askTimeout    = 400 * time.Millisecond
)

// errNoFolder means that the VM has no disk.
var errNoFolder = errors.New("disk.folder is not set: a holder needs a disk")

// process is the running holder.
type process struct {
	node   *node.Node
	holder *account.Holder
}

// Run serves until ctx ends.
func Run(ctx context.Context, s machine.Settings, a node.Adapter) error {
	if s.Folder() == "" {
		return errNoFolder
	}
	n := node.New(s, a, s.DataCentre(), []string{a.Kinds.Config, a.Kinds.VMs})
	h, err := account.OpenHolder(account.HolderParts{
		DataCentre: s.DataCentre(), DataCentres: s.DataCentres(), FirstStart: s.FirstStart(), Folder: s.Folder(),
		Config: n.Config(), Claims: a.Claims, Claimed: a.Claimed, Asker: n.Client(), Clock: n.Clock(), Log: n.Log().Layer("account"), Work: n.Work(),
	})
	if err != nil {
		return fmt.Errorf("open accounts: %w", err)
	}
	p := &process{node: n, holder: h}
	return p.run(ctx)
}

func (p *process) run(ctx context.Context) error {
	n := p.node
	if err := n.Start(p.holder.Receive); err != nil {
		return err
	}
	n.Loop(p.holder.Run)
	n.Loop(p.holder.Recover)
	n.Loop(p.holder.Join)
	n.Loop(p.claim)
	failure := n.AwaitEnd(ctx)
	n.Log().Event(events.ProcessStopping).Emit()
	n.Stop()
	if err := p.holder.Close(); err != nil {
		return err
	}
	return node.Outcome(failure)
}

// claim lists this VM as the holder of its data centre, unless another one
// answers as that.
func (p *process) claim(ctx context.Context) {
	n := p.node
	own := hawthornrail.NewHolder(n.Settings().DataCentre(), n.Settings().VM(), n.Settings().PeerAddress())
	var listed silence
	for ctx.Err() == nil {
		if p.claimOnce(ctx, own, &listed) {
			n.Log().Event(events.HolderClaimed).Str("data_centre", own.DataCentre()).Str("address", own.Address()).Emit()
			return
		}
		clock.Wait(ctx, n.Clock(), claimInterval)
	}
}

func (p *process) claimOnce(ctx context.Context, own hawthornrail.Holder, silence *silence) bool {
	registry := p.node.Adapter().Registry
	listed, revision, err := registry.Holder(ctx, own.DataCentre())
	if err != nil {
		p.node.Log().Event(events.RegisterFailed).Err(err).Emit()
		return false
	}
	if listed == own {
		return true
	}
	if revision != 0 && listed.VM() != own.VM() {
		looked := p.node.Clock().Now()
		if !silence.over(p.answers(ctx, listed), looked, p.node.Clock().Now()) {
			return false
		}
	}
	if err := registry.Claim(ctx, own, revision); err != nil {
		// Who has won shows at the next look.
		p.node.Log().Event(events.RegisterFailed).Err(err).Emit()
		return false
	}
	return true
}

// answers reports whether the listed holder can be reached.
func (p *process) answers(ctx context.Context, h hawthornrail.Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return peer.Probe(ctx, p.node.Direct(), h.Address()) == nil
}
