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
	ranks := make([]rank, len(vms))
	for i, v := range vms {
		ranks[i] = rank{hash: xxhash.Sum64String(v.Name() + key), vm: v}
	}
	slices.SortFunc(ranks, func(a, b rank) int { return cmp.Compare(a.hash, b.hash) })
	sorted := make([]hawthornrail.VM, len(vms))
	for i, r := range ranks {
		sorted[i] = r.vm
	}
	return sorted
}

// Split returns VMs in their order, apart from those that are to come last.
func Split(vms []hawthornrail.VM, isLast func(hawthornrail.VM) bool) (first, last []hawthornrail.VM) {
	for _, v := range vms {
		if isLast(v) {
			last = append(last, v)
		} else {
			first = append(first, v)
		}
	}
	return first, last
}

// rank is the place of a VM in an order.
type rank struct {
	hash uint64
	vm   hawthornrail.VM
}
