package client

import (
	"slices"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/placement"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// search decides which VMs are asked for a chain, and what their replies mean together.
type search struct {
	order []hawthornrail.VM
	// single is how many VMs are asked one after the other, before all remaining ones.
	single  int
	asked   int
	pending int
	replies map[vmpb.ChainState]int
}

// newSearch returns a search at the VMs that hold the copies of a placement key, the one in
// a data centre first, and then at all others: the turn may have another key.
func newSearch(vms []hawthornrail.VM, key, dataCentre string, copies int, suspected placement.Suspected) *search {
	order := placement.Order(vms, key, suspected)
	single := len(placement.Select(vms, key, copies, suspected))
	if i := slices.IndexFunc(order[:single], func(v hawthornrail.VM) bool { return v.DataCentre() == dataCentre }); i > 0 {
		own := order[i]
		order = slices.Insert(slices.Delete(order, i, i+1), 0, own)
	}
	return &search{order: order, single: single, replies: make(map[vmpb.ChainState]int)}
}

// next returns the VMs to ask now, and none once all have been asked.
func (s *search) next() []hawthornrail.VM {
	count := 1
	if s.asked >= s.single {
		count = len(s.order) - s.asked
	}
	vms := s.order[s.asked : s.asked+count]
	s.asked += count
	s.pending += count
	return vms
}

// record records what a VM knows of the turn; a VM that gave no reply has the state
// CHAIN_STATE_UNSPECIFIED.
func (s *search) record(state vmpb.ChainState) {
	s.pending--
	s.replies[state]++
}

// allAsked reports whether no VM is left to ask.
func (s *search) allAsked() bool { return s.asked == len(s.order) }

// finished reports whether all VMs were asked and none is waited for.
func (s *search) finished() bool { return s.allAsked() && s.pending == 0 }

// absent reports whether it is certain that the team has no such turn: every VM has
// replied that it holds none, or only another team's. The IDs of turns are the callers',
// so two teams may use the same one.
func (s *search) absent() bool {
	known := s.replies[vmpb.ChainState_CHAIN_STATE_FOREIGN] + s.replies[vmpb.ChainState_CHAIN_STATE_UNKNOWN]
	return len(s.order) > 0 && s.allAsked() && known == len(s.order)
}
