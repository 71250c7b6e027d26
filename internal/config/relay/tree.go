package relay

import (
	"cmp"
	"hash/fnv"
	"slices"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// watchersPerDataCentre is how many VMs of a data centre watch the
	// platform.
	watchersPerDataCentre = 2
	// fanOut is how many VMs of a data centre follow each VM.
	fanOut = 4
)

// Plan is where a VM gets its configuration from.
type Plan struct {
	watches bool
	source  string
}

// NewPlan places self in the tree of its data centre by rendezvous hashing: the
// first VMs watch the platform and follow one another or another data centre,
// and the others follow one of those before them. Members for which failed
// returns true are left out.
func NewPlan(self hawthornrail.Member, members []hawthornrail.Member, failed func(address string) bool) Plan {
	usable := make([]hawthornrail.Member, 0, len(members)+1)
	usable = append(usable, self)
	for _, m := range members {
		if !m.Draining() && !failed(m.Address()) {
			usable = append(usable, m)
		}
	}
	local := rankMembers(usable, self.DataCentre())
	rank := slices.IndexFunc(local, func(m hawthornrail.Member) bool { return m.VM() == self.VM() })
	if rank >= watchersPerDataCentre {
		return Plan{source: local[(rank-watchersPerDataCentre)/fanOut].Address()}
	}
	p := Plan{watches: true}
	if next := nextDataCentre(usable, self.DataCentre()); rank == 0 && next != self.DataCentre() {
		p.source = rankMembers(usable, next)[0].Address()
	} else if len(local) > 1 {
		p.source = local[(rank+1)%watchersPerDataCentre].Address()
	}
	return p
}

// Watches reports whether the VM watches the platform itself.
func (p Plan) Watches() bool { return p.watches }

// Source returns the address of the VM to follow, or an empty string.
func (p Plan) Source() string { return p.source }

func rankMembers(members []hawthornrail.Member, dataCentre string) []hawthornrail.Member {
	var list []hawthornrail.Member
	for _, m := range members {
		if m.DataCentre() == dataCentre {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b hawthornrail.Member) int {
		return cmp.Or(cmp.Compare(hashOf(a.VM()), hashOf(b.VM())), cmp.Compare(a.VM(), b.VM()))
	})
	return list
}

func hashOf(vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	return h.Sum64()
}

// nextDataCentre returns the data centre that follows in the order of names;
// after the last one comes the first.
func nextDataCentre(members []hawthornrail.Member, dataCentre string) string {
	var names []string
	for _, m := range members {
		names = append(names, m.DataCentre())
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return names[(slices.Index(names, dataCentre)+1)%len(names)]
}
