package rate

import (
	"context"
	"fmt"

	"hawthornrail.example/hawthornrail/internal/team/share"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// Remote asks other VMs over the protocol between VMs.
type Remote struct {
	client peer.Asker
}

// NewRemote returns a remote that asks through a client.
func NewRemote(client peer.Asker) *Remote { return &Remote{client: client} }

// Borrow sends an ask about a deployment to the holder at an address.
func (r *Remote) Borrow(ctx context.Context, address, deployment string, a Ask) (Reply, error) {
	var reply vmpb.BorrowReply
	open := &vmpb.Open{Kind: &vmpb.Open_Borrow{Borrow: askToWire(deployment, a)}}
	if _, err := r.client.Ask(ctx, address, open, &reply); err != nil {
		return Reply{}, fmt.Errorf("borrow from %s: %w", a.Holder(), err)
	}
	return replyFromWire(a.Number(), &reply), nil
}

// Exchange sends the state of a deployment's plan to a VM and returns its own.
func (r *Remote) Exchange(ctx context.Context, vm, address, deployment string, s share.State) (share.State, error) {
	var reply vmpb.ShareState
	open := &vmpb.Open{Kind: &vmpb.Open_ShareState{ShareState: stateToWire(deployment, s)}}
	remote, err := r.client.Ask(ctx, address, open, &reply)
	if err != nil {
		return share.State{}, fmt.Errorf("exchange plan with %s: %w", vm, err)
	}
	if remote.VM() != vm {
		return share.State{}, fmt.Errorf("exchange plan with %s: %s answered", vm, remote)
	}
	return stateFromWire(vm, &reply), nil
}

// Leave tells the VM at an address that this one uses no rate any more.
func (r *Remote) Leave(ctx context.Context, address string) error {
	open := &vmpb.Open{Kind: &vmpb.Open_LeaveRates{LeaveRates: &vmpb.LeaveRates{}}}
	if _, err := r.client.Ask(ctx, address, open, &vmpb.LeaveRatesReply{}); err != nil {
		return fmt.Errorf("leave rates: %w", err)
	}
	return nil
}
