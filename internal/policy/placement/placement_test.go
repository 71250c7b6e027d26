package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/placement"
)

func newVM(dataCentre string, number int) hawthornrail.VM {
	name := fmt.Sprintf("%s-%d", dataCentre, number)
	return hawthornrail.NewVM(name, dataCentre, name+":7000", false)
}

func drawVMs(t *rapid.T) []hawthornrail.VM {
	var vms []hawthornrail.VM
	for dc := range rapid.IntRange(1, 5).Draw(t, "data centres") {
		for n := range rapid.IntRange(1, 3).Draw(t, "VMs") {
			vms = append(vms, newVM(fmt.Sprintf("dc%d", dc), n))
		}
	}
	return vms
}

func drawSuspects(t *rapid.T, vms []hawthornrail.VM) placement.Suspected {
	down := make(map[string]bool)
	for _, v := range vms {
		down[v.Address()] = rapid.Bool().Draw(t, "suspected "+v.Name())
	}
	return func(address string) bool { return down[address] }
}

func dataCentres(vms []hawthornrail.VM) map[string]bool {
	set := make(map[string]bool)
	for _, v := range vms {
		set[v.DataCentre()] = true
	}
	return set
}

func names(vms []hawthornrail.VM) []string {
	var list []string
	for _, v := range vms {
		list = append(list, v.Name())
	}
	return list
}

// Guards against copies that a lost data centre takes along together: they are in as many
// data centres as there are, and at as many VMs as respond.
func TestCopiesAreSpreadOverDataCentres(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := drawVMs(t)
		suspected := drawSuspects(t, vms)
		copies := rapid.IntRange(1, 4).Draw(t, "copies")
		up := slices.DeleteFunc(slices.Clone(vms), func(v hawthornrail.VM) bool { return suspected(v.Address()) })
		got := placement.Select(vms, "key", copies, suspected)
		if len(got) != min(copies, len(up)) {
			t.Fatalf("%d copies of %d with %d VMs up", len(got), copies, len(up))
		}
		if centres := len(dataCentres(got)); centres != min(copies, len(dataCentres(up))) {
			t.Errorf("copies in %d data centres: %v of %v", centres, names(got), names(up))
		}
		if slices.ContainsFunc(got, func(v hawthornrail.VM) bool { return suspected(v.Address()) }) {
			t.Errorf("a suspected VM is selected: %v", names(got))
		}
	})
}

// Guards against VMs that select differently because their lists have another order, and
// against copies that move although the VM that went stored none.
func TestSelectionDependsOnlyOnTheKeyAndTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := drawVMs(t)
		key := rapid.StringN(1, 8, -1).Draw(t, "key")
		selected := placement.Select(vms, key, 2, placement.None)
		shuffled := rapid.Permutation(vms).Draw(t, "order")
		if got := placement.Select(shuffled, key, 2, placement.None); !slices.Equal(names(got), names(selected)) {
			t.Fatalf("selected %v and %v", names(got), names(selected))
		}
		gone := rapid.SampledFrom(vms).Draw(t, "gone")
		if slices.Contains(names(selected), gone.Name()) {
			return
		}
		rest := slices.DeleteFunc(slices.Clone(vms), func(v hawthornrail.VM) bool { return v.Name() == gone.Name() })
		if got := placement.Select(rest, key, 2, placement.None); !slices.Equal(names(got), names(selected)) {
			t.Errorf("selected %v without %s, before %v", names(got), gone.Name(), names(selected))
		}
	})
}

// Guards against a repair that leaves out a VM that is selected, with or without suspects, or
// that makes copies at VMs that nobody asks.
func TestTargetsAreTheSelectedVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := drawVMs(t)
		suspected := drawSuspects(t, vms)
		want := names(slices.Concat(placement.Select(vms, "key", 2, placement.None), placement.Select(vms, "key", 2, suspected)))
		slices.Sort(want)
		got := slices.Sorted(slices.Values(names(placement.Targets(vms, "key", 2, suspected))))
		if !slices.Equal(got, slices.Compact(want)) {
			t.Errorf("targets %v, want %v", got, want)
		}
	})
}

// Guards against a reader that skips VMs: those that are suspected are asked last.
func TestOrderHasAllVMsAndSuspectsLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := drawVMs(t)
		suspected := drawSuspects(t, vms)
		order := placement.Order(vms, "key", suspected)
		if !slices.Equal(slices.Sorted(slices.Values(names(order))), slices.Sorted(slices.Values(names(vms)))) {
			t.Fatalf("order %v of %v", names(order), names(vms))
		}
		if !slices.IsSortedFunc(order, func(a, b hawthornrail.VM) int { return rank(suspected, a) - rank(suspected, b) }) {
			t.Errorf("a suspected VM is not last: %v", names(order))
		}
	})
}

func rank(suspected placement.Suspected, v hawthornrail.VM) int {
	if suspected(v.Address()) {
		return 1
	}
	return 0
}

// Guards against a build that places copies elsewhere than another build, which then finds
// none.
func TestOrderIsTheSameForAllBuilds(t *testing.T) {
	vms := []hawthornrail.VM{newVM("dc1", 0), newVM("dc1", 1), newVM("dc2", 0), newVM("dc2", 1), newVM("dc3", 0)}
	got := names(placement.Order(vms, "program 7", placement.None))
	if want := []string{"dc1-1", "dc2-0", "dc3-0", "dc2-1", "dc1-0"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}
