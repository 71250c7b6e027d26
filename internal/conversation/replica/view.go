package replica

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/placement"
)

// maxCachedTargets bounds the placement keys whose targets a view remembers.
const maxCachedTargets = 50_000

// view is the list of VMs and suspects by which a VM decides who should store a turn.
type view struct {
	vms      []hawthornrail.VM
	copies   int
	suspects map[string]bool
	// hash differs between views that may select other VMs.
	hash uint64
	// targets are the addresses of the VMs that should store the chains with a key.
	targets map[string][]string
}

func newView(vms []hawthornrail.VM, copies int, suspects map[string]bool) *view {
	v := &view{vms: vms, copies: copies, suspects: suspects, targets: make(map[string][]string)}
	var b strings.Builder
	b.WriteString(strconv.Itoa(copies))
	for _, vm := range vms {
		b.WriteString("\n" + vm.Name() + " " + vm.DataCentre() + " " + vm.Address() + " " + strconv.FormatBool(suspects[vm.Address()]))
	}
	v.hash = xxhash.Sum64String(b.String())
	return v
}

// includes reports whether the VM at an address should store the chains with a key.
func (v *view) includes(key, address string) bool {
	targets, known := v.targets[key]
	if !known {
		if len(v.targets) == maxCachedTargets {
			clear(v.targets)
		}
		for _, vm := range placement.Targets(v.vms, key, v.copies, func(a string) bool { return v.suspects[a] }) {
			targets = append(targets, vm.Address())
		}
		v.targets[key] = targets
	}
	return slices.Contains(targets, address)
}

// others returns the listed VMs except that at an address.
func (v *view) others(address string) []hawthornrail.VM {
	return slices.DeleteFunc(slices.Clone(v.vms), func(vm hawthornrail.VM) bool { return vm.Address() == address })
}

// lists reports whether the VM at an address is listed.
func (v *view) lists(address string) bool { return len(v.others(address)) < len(v.vms) }

// stableSuspects returns the VMs that have been suspected for suspectDelay: copies in their
// place are not worth a short pause.
func stableSuspects(since map[string]time.Time, now time.Time) map[string]bool {
	stable := make(map[string]bool)
	for address, at := range since {
		if now.Sub(at) >= suspectDelay {
			stable[address] = true
		}
	}
	return stable
}
