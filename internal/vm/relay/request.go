package relay

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// request is one request to a VM, sent directly and through relays.
type request struct {
	client  *Client
	address string
	open    *vmpb.Open
	// replies is buffered for one result of each attempt, since Invoke may return
	// before all of them have arrived.
	replies chan result
	// pending counts the attempts without a result yet.
	pending int
	// tried are the VMs that were chosen as relays.
	tried []string
}

func newRequest(c *Client, address string, open *vmpb.Open) *request {
	return &request{client: c, address: address, open: open, replies: make(chan result, maxRelays+1)}
}

// sendDirect sends the request directly and returns the timer of the first
// relay.
func (r *request) sendDirect(ctx context.Context) <-chan time.Time {
	wait := r.client.clock.After(r.client.recordRequest(r.address))
	// The direct message is sent concurrently with the relayed ones, so it needs
	// its own copy of the fields.
	direct := proto.CloneOf(r.open)
	r.pending++
	go func() { r.replies <- r.client.requestDirect(ctx, r.address, direct) }()
	return wait
}

// relay sends the request through one more VM, if that is allowed.
func (r *request) relay(ctx context.Context) {
	if len(r.tried) == maxRelays || !r.client.allowRelay(r.address) {
		return
	}
	via := r.client.chooseRelay(r.address, r.tried)
	if via == "" {
		return
	}
	r.tried = append(r.tried, via)
	r.pending++
	go func() { r.replies <- r.client.requestThrough(ctx, via, r.address, r.open) }()
}

// nextRelay returns the timer of the next relay, or nil after maxRelays.
func (r *request) nextRelay() <-chan time.Time {
	if len(r.tried) == maxRelays {
		return nil
	}
	return r.client.clock.After(relayDelay)
}
