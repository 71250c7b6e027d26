package holder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/operator/machine"
	"hawthornrail.example/hawthornrail/internal/operator/node"
	"hawthornrail.example/hawthornrail/internal/program/account"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// errNoFolder is returned if the settings name no folder on disk.
var errNoFolder = errors.New("disk.folder is not set: a holder needs a disk")

// process is the running holder.
type process struct {
	node          *node.Node
	role          *role
	holder        *account.Holder
	conversations *conversations
	// registered is set while this VM is registered as the holder, as far as keepRole has
	// seen, which alone uses it.
	registered bool
}

// Run serves until ctx is done or a listener fails.
func Run(ctx context.Context, s machine.Settings, a node.Adapter) error {
	if s.Folder() == "" {
		return errNoFolder
	}
	n := node.New(s, a, s.DataCentre(), []string{a.Kinds.Config, a.Kinds.VMs})
	r := newRole(n.Clock())
	h, err := account.OpenHolder(account.HolderDependencies{
		DataCentre: s.DataCentre(), DataCentres: s.DataCentres(), FirstStart: s.FirstStart(), Folder: s.Folder(),
		Config: n.Config(), Claims: a.Claims, ClaimList: a.ClaimList, Invoker: n.RelayClient(), Clock: n.Clock(), Log: n.Log().Layer("account"), Tasks: n.Tasks(), HoldsRole: r.isHeld,
	})
	if err != nil {
		return fmt.Errorf("open accounts: %w", err)
	}
	p := &process{node: n, role: r, holder: h, conversations: newConversations(n)}
	n.Rates().SetRole(p)
	return p.run(ctx)
}

// handOverShare is the fraction of the shutdown time in which tokens are handed over.
const handOverShare = 0.25

// handOver hands the tokens of programs over to the other holders: this VM may be removed
// with its disk.
func (p *process) handOver() {
	timeout := time.Duration(handOverShare * float64(p.node.Settings().Grace()))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.holder.HandOver(ctx)
}

func (p *process) run(ctx context.Context) error {
	n := p.node
	receive := func(ctx context.Context, open *vmpb.Open, s *peer.Stream) bool {
		return p.holder.Receive(ctx, open, s) || p.conversations.Receive(ctx, open, s)
	}
	if err := n.Start(receive); err != nil {
		return err
	}
	n.Loop(p.conversations.run)
	n.Loop(p.holder.Run)
	n.Loop(p.holder.Recover)
	n.Loop(p.holder.ResolveIsolated)
	n.Loop(p.keepRole)
	failure := n.Wait(ctx)
	n.Log().Event(events.ProcessStopping).Emit()
	p.handOver()
	n.Stop()
	if err := errors.Join(p.holder.Close(), p.conversations.close()); err != nil {
		return err
	}
	return node.ExitError(failure)
}
