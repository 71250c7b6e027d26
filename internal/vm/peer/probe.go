package peer

import (
	"context"
	"fmt"

	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// Probe asks the VM at an address for something that it always knows, which
// needs neither its disk nor the platform; an error means that it did not answer.
func Probe(ctx context.Context, asker Asker, address string) error {
	open := &vmpb.Open{Kind: &vmpb.Open_ObjectsAsk{ObjectsAsk: &vmpb.ObjectsAsk{}}}
	if _, err := asker.Ask(ctx, address, open, &vmpb.ObjectsReply{}); err != nil {
		return fmt.Errorf("probe VM at %s: %w", address, err)
	}
	return nil
}
