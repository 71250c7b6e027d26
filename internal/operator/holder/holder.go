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
	// claimInterval is the interval at which a VM checks whether it is the
	// holder of its data centre.
	claimInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
)

// errNoFolder is returned if the settings name no folder on disk.
var errNoFolder = errors.New("disk.folder is not set: a holder needs a disk")

// process is the running holder.
type process struct {
	node   *node.Node
	holder *account.Holder
}

// Run serves until ctx is done or a listener fails.
func Run(ctx context.Context, s machine.Settings, a node.Adapter) error {
	if s.Folder() == "" {
		return errNoFolder
	}
	n := node.New(s, a, s.DataCentre(), []string{a.Kinds.Config, a.Kinds.VMs})
	h, err := account.OpenHolder(account.HolderDependencies{
		DataCentre: s.DataCentre(), DataCentres: s.DataCentres(), FirstStart: s.FirstStart(), Folder: s.Folder(),
		Config: n.Config(), Claims: a.Claims, ClaimList: a.ClaimList, Invoker: n.RelayClient(), Clock: n.Clock(), Log: n.Log().Layer("account"), Tasks: n.Tasks(),
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
	n.Loop(p.holder.ResolveIsolated)
	n.Loop(p.claim)
	failure := n.Wait(ctx)
	n.Log().Event(events.ProcessStopping).Emit()
	n.Stop()
	if err := p.holder.Close(); err != nil {
		return err
	}
	return node.ExitError(failure)
}

// claim retries until this VM is registered as the holder of its data centre. A
// registered holder that responds is not replaced.
func (p *process) claim(ctx context.Context) {
	n := p.node
	own := hawthornrail.NewHolder(n.Settings().DataCentre(), n.Settings().VM(), n.Settings().PeerAddress())
	var registered outage
	for ctx.Err() == nil {
		if p.claimOnce(ctx, own, &registered) {
			n.Log().Event(events.HolderClaimed).Str("data_centre", own.DataCentre()).Str("address", own.Address()).Emit()
			return
		}
		clock.Wait(ctx, n.Clock(), claimInterval)
	}
}

func (p *process) claimOnce(ctx context.Context, own hawthornrail.Holder, registered *outage) bool {
	registry := p.node.Adapter().Registry
	current, revision, err := registry.Holder(ctx, own.DataCentre())
	if err != nil {
		p.node.Log().Event(events.RegisterFailed).Err(err).Emit()
		return false
	}
	if current == own {
		return true
	}
	if revision != 0 && current.VM() != own.VM() {
		probedAt := p.node.Clock().Now()
		if !registered.update(p.responds(ctx, current), probedAt, p.node.Clock().Now()) {
			return false
		}
	}
	if err := registry.Claim(ctx, own, revision); err != nil {
		// Another VM may have claimed it first; the next attempt reads which.
		p.node.Log().Event(events.RegisterFailed).Err(err).Emit()
		return false
	}
	return true
}

// responds reports whether the registered holder can be reached.
func (p *process) responds(ctx context.Context, h hawthornrail.Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return peer.Probe(ctx, p.node.DirectClient(), h.Address()) == nil
}
