package placement

import (
	"slices"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/ranking"
)

// keySeparator keeps the VM "a" with the key "bc" apart from the VM "ab" with the key "c",
// since the hash covers the name and the key together.
const keySeparator = " "

// Suspected reports whether the VM at an address is suspected to be down.
type Suspected func(address string) bool

// None suspects no VM.
func None(string) bool { return false }

// Key returns the placement key of a turn without a parent; program is the id of its
// program, or empty.
func Key(program, turn string) string {
	if program != "" {
		return program
	}
	return turn
}

// Copies returns the number of copies that survive the loss of so many disks at once.
func Copies(toleratedLosses int) int { return toleratedLosses + 1 }

// Order returns all VMs in the order in which they are preferred for a placement key: the
// first of each data centre, then the others. VMs that are suspected to be down come last,
// in the same order among them.
func Order(vms []hawthornrail.VM, key string, suspected Suspected) []hawthornrail.VM {
	ranked := ranking.ByHash(vms, keySeparator+key)
	responding, suspects := ranking.Split(ranked, func(v hawthornrail.VM) bool { return suspected(v.Address()) })
	return slices.Concat(spread(responding), spread(suspects))
}

// Select returns the VMs that store the copies of the chains with a placement key. They are
// fewer than copies if the others are suspected to be down.
func Select(vms []hawthornrail.VM, key string, copies int, suspected Suspected) []hawthornrail.VM {
	responding := slices.DeleteFunc(slices.Clone(vms), func(v hawthornrail.VM) bool { return suspected(v.Address()) })
	order := Order(responding, key, None)
	return order[:min(max(copies, 0), len(order))]
}

// Targets returns the VMs that should store the chains with a placement key: those that are
// selected among all VMs, and those that take the place of VMs that are suspected to be down.
func Targets(vms []hawthornrail.VM, key string, copies int, suspected Suspected) []hawthornrail.VM {
	targets := Select(vms, key, copies, None)
	for _, v := range Select(vms, key, copies, suspected) {
		if !slices.Contains(targets, v) {
			targets = append(targets, v)
		}
	}
	return targets
}

// spread moves the first VM of each data centre to the front.
func spread(ranked []hawthornrail.VM) []hawthornrail.VM {
	seen := make(map[string]bool)
	var first, rest []hawthornrail.VM
	for _, v := range ranked {
		if seen[v.DataCentre()] {
			rest = append(rest, v)
			continue
		}
		seen[v.DataCentre()] = true
		first = append(first, v)
	}
	return append(first, rest...)
}
