package replica

import (
	"fmt"
	"testing"

	"hawthornrail.example/hawthornrail/internal/policy/placement"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// Measures the lists that one VM sends to all others after a change of the list of VMs, with
// 20,000 turns of 1,000 programs.
func BenchmarkListAfterChange(b *testing.B) {
	const (
		turns    = 20_000
		programs = 1000
	)
	for _, vms := range []int{6, 24, 48} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			f := newFleet(b, b.TempDir(), 1, 8, 2)
			defer f.close()
			for n := 1; n < vms; n++ {
				f.list = append(f.list, listedVM(n, 8))
			}
			for n := range turns {
				if !f.saveAt("0", f.newTurn(fmt.Sprint("turn", n), "", fmt.Sprint("program", n%programs))) {
					b.Fatal("not saved")
				}
			}
			r := f.vms[0].replica
			for b.Loop() {
				r.view = newView(nil, placement.Copies(2), nil)
				for _, vm := range f.list[1:] {
					listAll(r, vm.Address())
				}
			}
		})
	}
}

// listAll requests the list for a VM to its end.
func listAll(r *Replica, address string) {
	m := &vmpb.TurnList{Address: address}
	for more := true; more; {
		reply := r.list(m)
		m.Epoch, m.After, more = reply.GetEpoch(), reply.GetPosition(), reply.GetMore()
	}
}

// Measures a round of repair at a VM that has nothing to fetch, both ends of each request.
func BenchmarkIdleRound(b *testing.B) {
	for _, vms := range []int{6, 24, 48} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			f := newFleet(b, b.TempDir(), vms, 8, 2)
			defer f.close()
			for b.Loop() {
				f.vms[0].replica.Repair(b.Context())
			}
		})
	}
}
