package fleet

import (
	"context"
	"fmt"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const stepTimeout = 2 * time.Second

// Replicator sends the steps of local programs to their backup, the next VM
// of the same data centre; it implements hawthornrail.Replicator.
type Replicator struct {
	self   hawthornrail.Instance
	config hawthornrail.Configuration
	client *peer.Client
}

// NewReplicator returns a replicator for the programs homed at self.
func NewReplicator(self hawthornrail.Instance, config hawthornrail.Configuration, client *peer.Client) *Replicator {
	return &Replicator{self: self, config: config, client: client}
}

// Replicate returns once the backup holds the step.
func (p *Replicator) Replicate(ctx context.Context, s hawthornrail.Step) error {
	backup, ok := p.backup()
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var reply vmpb.StepReply
	open := &vmpb.Open{Kind: &vmpb.Open_Step{Step: convert.StepToWire(p.self, 0, s)}}
	if _, err := p.client.Ask(ctx, backup.Address(), open, &reply); err != nil {
		return unreplicated(fmt.Errorf("backup %s: %w", backup.Name(), err))
	}
	if !reply.GetAccepted() {
		return unreplicated(fmt.Errorf("backup %s: %s", backup.Name(), reply.GetReason()))
	}
	return nil
}

func unreplicated(err error) error {
	f := hawthornrail.NewFailure(hawthornrail.CodeReplicaUnreached, hawthornrail.VerdictNotRun, err)
	return f.WithRetryAfter(unreachableRetryAfter)
}

// backup returns the VM after this one, by name, in the data centre.
func (p *Replicator) backup() (hawthornrail.VM, bool) {
	var first, next hawthornrail.VM
	for _, vm := range p.config.Snapshot().VMs() {
		if vm.DataCentre() != p.self.DataCentre() || vm.Name() == p.self.VM() {
			continue
		}
		if first.Name() == "" {
			first = vm
		}
		if next.Name() == "" && vm.Name() > p.self.VM() {
			next = vm
		}
	}
	if next.Name() != "" {
		return next, true
	}
	return first, first.Name() != ""
}
