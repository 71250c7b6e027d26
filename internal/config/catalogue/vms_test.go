package catalogue_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/catalogue"
)

// Guards against VMs that serve without being listed and have no part of the limits of
// endpoints, and against what they say of a VM that the platform lists.
func TestUnlistedVMsAreMerged(t *testing.T) {
	vm := func(name, address string) hawthornrail.VM {
		return hawthornrail.NewVM(name, "dc1", address, false).WithoutRates()
	}
	c := catalogue.New(clockwork.NewFakeClock(), func() time.Time { return time.Time{} })
	c.SetUnlistedVMs([]hawthornrail.VM{vm("a", "unlisted:1"), vm("b", "unlisted:2")})
	c.SetVMs([]hawthornrail.VM{vm("a", "listed:1")}, nil)
	assertVMs := func(want map[string]string) {
		t.Helper()
		vms := c.Snapshot().EntryVMs()
		if len(vms) != len(want) {
			t.Errorf("%d VMs, want %d", len(vms), len(want))
		}
		for _, v := range vms {
			if v.Address() != want[v.Name()] {
				t.Errorf("VM %s is at %s, want %s", v.Name(), v.Address(), want[v.Name()])
			}
		}
	}
	assertVMs(map[string]string{"a": "listed:1", "b": "unlisted:2"})
	c.SetUnlistedVMs(nil)
	assertVMs(map[string]string{"a": "listed:1"})
}
