package ranking

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	hawthornrail "hawthornrail.example/hawthornrail"
)

// ByHash returns VMs in an order that depends on a key: a VM that comes or goes does not
// change the order of the others. VMs of all builds have to use the same hash.
func ByHash(vms []hawthornrail.VM, key string) []hawthornrail.VM {
	rank := func(v hawthornrail.VM) uint64 { return xxhash.Sum64String(v.Name() + key) }
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b hawthornrail.VM) int { return cmp.Compare(rank(a), rank(b)) })
	return sorted
}
