package client

import (
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/placement"
)

const (
	// releaseDelay is how long the end of a response waits for all copies once one is on
	// disk.
	releaseDelay = 100 * time.Millisecond
	// saveTimeout is how long it waits for the first copy.
	saveTimeout = time.Second
)

// saving decides which VMs get a turn, and when the end of its response is released.
type saving struct {
	order []hawthornrail.VM
	// copies is the number of copies that can be made now.
	copies  int
	next    int
	pending int
	saved   int
	failed  []hawthornrail.VM
}

// newSaving returns the saving of a turn at the VMs that are not suspected to be down, or
// at all VMs if each of them is.
func newSaving(vms []hawthornrail.VM, key string, copies int, suspected placement.Suspected) *saving {
	order := placement.Select(vms, key, len(vms), suspected)
	if len(order) == 0 {
		order = placement.Order(vms, key, suspected)
	}
	return &saving{order: order, copies: min(copies, len(order))}
}

// send returns the VMs that get the turn now: as many as there are copies to make, of
// which those that failed are replaced by the next in the order.
func (s *saving) send() []hawthornrail.VM { return s.take(s.copies - s.saved - s.pending) }

// sendSpare returns further VMs that get the turn because none has replied yet.
func (s *saving) sendSpare() []hawthornrail.VM { return s.take(s.copies) }

func (s *saving) take(count int) []hawthornrail.VM {
	count = max(0, min(count, len(s.order)-s.next))
	vms := s.order[s.next : s.next+count]
	s.next += count
	s.pending += count
	return vms
}

// retry makes the VMs that failed available again.
func (s *saving) retry() {
	s.order = slices.Insert(s.order, s.next, s.failed...)
	s.failed = nil
}

// record records whether a VM has the turn on disk.
func (s *saving) record(vm hawthornrail.VM, saved bool) {
	s.pending--
	if saved {
		s.saved++
		return
	}
	s.failed = append(s.failed, vm)
}

// complete reports whether all copies are on disk.
func (s *saving) complete() bool { return s.saved >= s.copies }

// decide returns whether the end of the response is released, or the response broken off,
// after a time.
func (s *saving) decide(elapsed time.Duration) (released, brokenOff bool) {
	released = s.saved > 0 && (s.complete() || elapsed >= releaseDelay)
	return released, s.saved == 0 && (elapsed >= saveTimeout || len(s.order) == 0)
}
