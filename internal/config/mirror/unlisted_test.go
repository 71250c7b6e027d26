package mirror_test

import (
	"context"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Guards against VMs that never hear of one that serves without being listed, because the
// requests and replies of the exchange do not pass it on.
func TestExchangePassesUnlistedVMsOn(t *testing.T) {
	addresses := []string{"a1", "a2", "b1", "b2"}
	simulateWith(t, addresses, nil, func(_ context.Context, fleet *simFleet) {
		fleet.vm("a1").unlisted.Announce(hawthornrail.NewVM("a1", "a", "a1", false))
		time.Sleep(3 * time.Second)
		for _, address := range addresses {
			messages := fleet.vm(address).unlisted.Messages()
			if len(messages) != 1 || messages[0].GetName() != "a1" {
				t.Errorf("%s knows %v, want a1", address, messages)
			}
		}
	})
}
