package reach

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	hawthornrail "hawthornrail.example/hawthornrail"
)

// Helpers are the VMs that a VM sends requests for a service through.
type Helpers struct {
	dataCentre string
	vms        []hawthornrail.VM
}

// NewHelpers returns an empty list of a VM in a data centre.
func NewHelpers(dataCentre string) *Helpers { return &Helpers{dataCentre: dataCentre} }

// Set replaces the list.
func (h *Helpers) Set(vms []hawthornrail.VM) { h.vms = vms }

// Remove removes the VM with a name.
func (h *Helpers) Remove(name string) {
	h.vms = slices.DeleteFunc(slices.Clone(h.vms), func(v hawthornrail.VM) bool { return v.Name() == name })
}

// Empty reports whether there is no VM.
func (h *Helpers) Empty() bool { return len(h.vms) == 0 }

// Choose returns the VM for a request that has not been refused by it. Requests with
// the same key, such as those of a program, get the same VM, which then knows the
// endpoint that caches their prompt. VMs of the own data centre come first.
func (h *Helpers) Choose(key string, refused []string) (hawthornrail.VM, bool) {
	var chosen hawthornrail.VM
	var chosenRank uint64
	found, chosenLocal := false, false
	for _, v := range h.vms {
		if slices.Contains(refused, v.Name()) {
			continue
		}
		rank, local := xxhash.Sum64String(v.Name()+" "+key), v.DataCentre() == h.dataCentre
		if found && (chosenLocal && !local || chosenLocal == local && rank <= chosenRank) {
			continue
		}
		chosen, chosenRank, chosenLocal, found = v, rank, local, true
	}
	return chosen, found
}

// Sample returns VMs in the order in which they are asked whether they reach an
// endpoint: those of the own data centre and the others in turn, each in random order,
// at most count.
func Sample(vms []hawthornrail.VM, dataCentre string, count int, shuffle func(n int, swap func(i, j int))) []hawthornrail.VM {
	var local, remote []hawthornrail.VM
	for _, v := range vms {
		if v.DataCentre() == dataCentre {
			local = append(local, v)
		} else {
			remote = append(remote, v)
		}
	}
	for _, list := range [][]hawthornrail.VM{local, remote} {
		shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	var sample []hawthornrail.VM
	for n := 0; len(sample) < count && (n < len(local) || n < len(remote)); n++ {
		if n < len(local) {
			sample = append(sample, local[n])
		}
		if n < len(remote) {
			sample = append(sample, remote[n])
		}
	}
	return sample[:min(count, len(sample))]
}
