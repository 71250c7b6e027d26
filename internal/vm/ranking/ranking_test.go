package ranking_test

import (
	"fmt"
	"slices"
	"testing"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/ranking"
)

// Guards against an order that differs from that of VMs of other builds, which then look
// for a stream or a decision at other VMs.
func TestOrderIsTheSameForAllBuilds(t *testing.T) {
	var vms []hawthornrail.VM
	for n := range 5 {
		vms = append(vms, hawthornrail.NewVM(fmt.Sprintf("vm%d", n), "dc1", "", false))
	}
	names := func(vms []hawthornrail.VM) (list []string) {
		for _, v := range vms {
			list = append(list, v.Name())
		}
		return list
	}
	// The order of 7f592d8.
	want := []string{"vm1", "vm2", "vm3", "vm0", "vm4"}
	got := names(ranking.ByHash(vms, " s1"))
	if !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
	t.Run("without one of them", func(t *testing.T) {
		rest := slices.DeleteFunc(got, func(name string) bool { return name == "vm2" })
		if fewer := names(ranking.ByHash(append(vms[:2:2], vms[3:]...), " s1")); !slices.Equal(fewer, rest) {
			t.Errorf("order %v, want %v", fewer, rest)
		}
	})
}
