package rate

import (
	"context"
	"fmt"

	"hawthornrail.example/hawthornrail/internal/team/share"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// Client sends requests about rates to other VMs.
type Client struct {
	client peer.Invoker
}

// NewClient returns a remote that sends its requests through a client.
func NewClient(client peer.Invoker) *Client { return &Client{client: client} }

// Borrow sends a borrow request for a deployment to the holder at an address.
func (c *Client) Borrow(ctx context.Context, address, deployment string, request BorrowRequest) (BorrowReply, error) {
	var reply vmpb.BorrowReply
	open := &vmpb.Open{Kind: &vmpb.Open_Borrow{Borrow: borrowRequestToWire(deployment, request)}}
	if _, err := c.client.Invoke(ctx, address, open, &reply); err != nil {
		return BorrowReply{}, fmt.Errorf("borrow tokens from %s: %w", request.Holder(), err)
	}
	return borrowReplyFromWire(request.Number(), &reply), nil
}

// ExchangeState sends the state of a deployment's plan to a VM and returns the
// state of that VM.
func (c *Client) ExchangeState(ctx context.Context, vm, address, deployment string, s share.State) (share.State, error) {
	var reply vmpb.ShareState
	open := &vmpb.Open{Kind: &vmpb.Open_ShareState{ShareState: stateToWire(deployment, s)}}
	remote, err := c.client.Invoke(ctx, address, open, &reply)
	if err != nil {
		return share.State{}, fmt.Errorf("exchange plan state with %s: %w", vm, err)
	}
	if remote.VM() != vm {
		return share.State{}, fmt.Errorf("exchange plan state with %s: reply came from %s", vm, remote)
	}
	return stateFromWire(vm, &reply), nil
}

// LeaveRates notifies the VM at an address that this one no longer uses any
// rate.
func (c *Client) LeaveRates(ctx context.Context, address string) error {
	open := &vmpb.Open{Kind: &vmpb.Open_LeaveRates{LeaveRates: &vmpb.LeaveRates{}}}
	if _, err := c.client.Invoke(ctx, address, open, &vmpb.LeaveRatesReply{}); err != nil {
		return fmt.Errorf("notify VM of released rates: %w", err)
	}
	return nil
}
