package client

import (
	"context"
	"errors"
	"fmt"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// firstPartBytes is the size of the part that is requested together with the size of the
	// chain. Several VMs may be asked for it.
	firstPartBytes = 64 << 10
	// partBytes is the size of the other parts. With its message it fits in the window of a
	// stream, so that the VM that sends it does not wait for this one to read it.
	partBytes = 960 << 10
	// maxParts bounds the parts that are received at once, each of which takes up to three
	// times its size: in the connection, in its message and decoded.
	maxParts = 4
	// partTimeout is how long a part is waited for until another VM is asked.
	partTimeout = time.Second
)

// errInterrupted means that a VM sent a part of a chain and not the rest.
var errInterrupted = errors.New("rest of the chain was not received")

// transfer is the content of a chain as it arrives, from one VM after the other if need be.
type transfer struct {
	ref       hawthornrail.TurnRef
	admission *admission
	content   []byte
	total     uint64
	digest    uint64
	first     *vmpb.ChainLoadReply
}

func firstPart(ref hawthornrail.TurnRef) *vmpb.ChainLoad {
	return &vmpb.ChainLoad{Ref: convert.TurnRefToWire(ref), MaxBytes: firstPartBytes}
}

// totalBytes returns the size of the chain that a reply is a part of. An older VM sends no
// size and the whole chain.
func totalBytes(reply *vmpb.ChainLoadReply) uint64 {
	return max(reply.GetTotalBytes(), uint64(len(reply.GetContent())))
}

// begin goes on with a chain of which a VM has sent the first part: from where it was
// interrupted, if the VM has the same.
func (t *transfer) begin(first *vmpb.ChainLoadReply) error {
	total := totalBytes(first)
	if err := t.admission.admit(total); err != nil {
		return err
	}
	if t.first != nil && t.digest == first.GetDigest() && t.total == total {
		return nil
	}
	t.first, t.total, t.digest = first, total, first.GetDigest()
	t.content = append(make([]byte, 0, int(total)+t.admission.room()), first.GetContent()...)
	return nil
}

// add adds a part to the content.
func (t *transfer) add(part *vmpb.ChainLoadReply) error {
	left := t.total - uint64(len(t.content))
	size := uint64(len(part.GetContent()))
	if part.GetState() != vmpb.ChainState_CHAIN_STATE_FOUND || part.GetDigest() != t.digest || size == 0 || size > left {
		return fmt.Errorf("%w: %s, %d bytes of %d that are left, digest %x, before %x", errInterrupted, part.GetState(), size, left, part.GetDigest(), t.digest)
	}
	t.content = append(t.content, part.GetContent()...)
	return nil
}

func (t *transfer) complete() bool { return uint64(len(t.content)) == t.total }

func (t *transfer) chain() hawthornrail.Chain {
	return hawthornrail.NewChain(t.content, t.first.GetPlacementKey(), int(t.first.GetTurns()))
}

// receive receives the rest of a chain from the VM that has sent the first part.
func (c *Client) receive(ctx context.Context, t *transfer, found loadReply) error {
	if err := t.begin(found.chain); err != nil {
		return err
	}
	for !t.complete() {
		part, err := c.nextPart(ctx, t, found.vm)
		if err != nil {
			return fmt.Errorf("%w: %w", errInterrupted, err)
		}
		if err := t.add(part); err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) nextPart(ctx context.Context, t *transfer, vm hawthornrail.VM) (*vmpb.ChainLoadReply, error) {
	select {
	case c.parts <- struct{}{}:
		defer func() { <-c.parts }()
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for other chains: %w", ctx.Err())
	}
	// A part that is late says nothing about whether the VM is up.
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	m := &vmpb.ChainLoad{Ref: convert.TurnRefToWire(t.ref), Offset: uint64(len(t.content)), MaxBytes: partBytes}
	return c.loadPart(ctx, loadTimeout, vm, m)
}

// loadPart requests a part of a chain from a VM.
func (c *Client) loadPart(ctx context.Context, timeout time.Duration, vm hawthornrail.VM, m *vmpb.ChainLoad) (*vmpb.ChainLoadReply, error) {
	var reply vmpb.ChainLoadReply
	open := &vmpb.Open{Kind: &vmpb.Open_ChainLoad{ChainLoad: m}}
	if err := c.monitor.Invoke(ctx, timeout, vm.Name(), vm.Address(), open, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}
