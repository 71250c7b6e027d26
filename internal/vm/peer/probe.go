package peer

import (
	"context"
	"fmt"

	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// Probe sends the VM at an address a request that it can serve without its disk
// and the platform; an error means that it did not reply.
func Probe(ctx context.Context, invoker Invoker, address string) error {
	open := &vmpb.Open{Kind: &vmpb.Open_ObjectsAsk{ObjectsAsk: &vmpb.ObjectsAsk{}}}
	if _, err := invoker.Invoke(ctx, address, open, &vmpb.ObjectsReply{}); err != nil {
		return fmt.Errorf("probe VM at %s: %w", address, err)
	}
	return nil
}
