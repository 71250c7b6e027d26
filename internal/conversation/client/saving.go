package client

import (
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/placement"
)

const (
	// releaseDelay is how long the end of a response waits for the disks alone.
	releaseDelay = 100 * time.Millisecond
	// saveTimeout is how long it waits until the turn is durable.
	saveTimeout = time.Second
)

// saving decides which VMs get a turn, and when the end of its response is released.
type saving struct {
	order []hawthornrail.VM
	next  int
	// required is the number of disks that the turn has to be on, so that the tolerated
	// losses leave one.
	required int
	// active holds the addresses of the VMs that were sent the turn, and whether they have
	// stored it.
	active  map[string]bool
	pending int
	saved   int
	failed  []hawthornrail.VM
	// kept is set once the platform's store has the turn.
	kept bool
}

// newSaving returns the saving of a turn at VMs, in the order in which they are preferred.
func newSaving(order []hawthornrail.VM, required int) *saving {
	return &saving{order: order, required: required, active: make(map[string]bool)}
}

// orderFor returns the VMs that are not suspected to be down, or all VMs if each of them is.
// VMs that are avoided come last.
func orderFor(vms []hawthornrail.VM, key string, suspected, avoided placement.Suspected) []hawthornrail.VM {
	responding := slices.DeleteFunc(slices.Clone(vms), func(v hawthornrail.VM) bool { return suspected(v.Address()) })
	if len(responding) == 0 {
		return placement.Order(vms, key, suspected)
	}
	return placement.Order(responding, key, avoided)
}

// send returns the VMs that get the turn now: as many as there are copies to make, of
// which those that failed are replaced by the next in the order.
func (s *saving) send() []hawthornrail.VM { return s.take(s.required - s.saved - s.pending) }

// sendSpare returns further VMs that get the turn because some have not replied in time.
func (s *saving) sendSpare() []hawthornrail.VM { return s.take(s.required) }

func (s *saving) take(count int) []hawthornrail.VM {
	count = max(0, min(count, len(s.order)-s.next))
	vms := s.order[s.next : s.next+count]
	s.next += count
	s.pending += count
	for _, vm := range vms {
		s.active[vm.Address()] = false
	}
	return vms
}

// waiting returns the addresses of the VMs that have not replied yet.
func (s *saving) waiting() []string {
	var addresses []string
	for address, stored := range s.active {
		if !stored {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// retry makes the VMs of an order available that neither have the turn nor were sent it,
// among them those that failed.
func (s *saving) retry(order []hawthornrail.VM) {
	s.order = slices.DeleteFunc(slices.Clone(order), func(v hawthornrail.VM) bool {
		_, active := s.active[v.Address()]
		return active
	})
	s.next, s.failed = 0, nil
}

// record records whether a VM has the turn on disk.
func (s *saving) record(vm hawthornrail.VM, saved bool) {
	s.pending--
	if saved {
		s.saved++
		s.active[vm.Address()] = true
		return
	}
	delete(s.active, vm.Address())
	s.failed = append(s.failed, vm)
}

// complete reports whether all copies are on disk.
func (s *saving) complete() bool { return s.saved >= s.required }

// durable reports whether the turn outlives the tolerated losses: the end of its response is
// released.
func (s *saving) durable() bool { return s.complete() || s.kept }
