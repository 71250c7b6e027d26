package unlisted_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/unlisted"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// spreadTime is the time in which all VMs must know of a new one: a limit of an endpoint has to
// be kept from then on.
const spreadTime = 3 * time.Second

// vm is a VM that knows some others.
type vm struct {
	*unlisted.Table
	self  hawthornrail.VM
	known []string
}

func newVM(clock hawthornrail.Clock, name string) *vm {
	v := &vm{self: hawthornrail.NewVM(name, "dc1", name+":1", false)}
	v.Table = unlisted.NewTable(clock, func(vms []hawthornrail.VM) {
		v.known = nil
		for _, k := range vms {
			v.known = append(v.known, k.Name())
		}
	})
	return v
}

func (v *vm) assertKnows(t *testing.T, names ...string) {
	t.Helper()
	v.Messages()
	if !slices.Equal(v.known, names) {
		t.Errorf("%s knows %v, want %v", v.self.Name(), v.known, names)
	}
}

// Guards against VMs that divide the limit of an endpoint among the listed ones only, while
// others serve without being listed.
func TestUnlistedVMsBecomeKnown(t *testing.T) {
	const (
		count    = 60
		interval = 250 * time.Millisecond
	)
	clock := clockwork.NewFakeClock()
	var vms []*vm
	for n := range count {
		vms = append(vms, newVM(clock, fmt.Sprintf("vm%02d", n)))
	}
	newcomers := []*vm{vms[0], vms[30], vms[59]}
	for _, v := range newcomers {
		v.Announce(v.self)
	}
	// Each VM sends to the others in turn, in an order of its own.
	for round := range int(spreadTime / interval) {
		clock.Advance(interval)
		for i, v := range vms {
			other := vms[(i+1+round*(1+i%7))%count]
			other.Merge(v.Messages())
			v.Merge(other.Messages())
		}
	}
	for _, v := range vms {
		v.assertKnows(t, "vm00", "vm30", "vm59")
	}
}

func TestTable(t *testing.T) {
	clock := clockwork.NewFakeClock()
	v := newVM(clock, "self")
	message := func(age time.Duration) []*vmpb.UnlistedVM {
		return []*vmpb.UnlistedVM{{Name: "other", Address: "other:1", AgeMs: uint32(age.Milliseconds())}}
	}
	t.Run("a VM that is soon listed is not announced", func(t *testing.T) {
		v.Announce(v.self)
		v.assertKnows(t)
		v.SetListed([]hawthornrail.VM{v.self})
		clock.Advance(time.Minute)
		v.assertKnows(t)
	})
	t.Run("a VM that is no longer listed is", func(t *testing.T) {
		v.SetListed(nil)
		v.assertKnows(t, "self")
	})
	t.Run("until it is withdrawn", func(t *testing.T) {
		v.Withdraw()
		clock.Advance(time.Minute)
		v.assertKnows(t)
	})
	t.Run("a VM that is not heard of is forgotten", func(t *testing.T) {
		v.Merge(message(0))
		clock.Advance(9 * time.Second)
		v.assertKnows(t, "other")
		v.Merge(message(10 * time.Second))
		clock.Advance(time.Second)
		v.assertKnows(t)
	})
	t.Run("old news and VMs without an address are dropped", func(t *testing.T) {
		v.Merge(append(message(time.Minute), &vmpb.UnlistedVM{Name: "bare"}))
		v.assertKnows(t)
	})
	t.Run("a listed VM is dropped", func(t *testing.T) {
		v.Merge(message(0))
		v.SetListed([]hawthornrail.VM{hawthornrail.NewVM("other", "dc1", "other:2", false)})
		v.assertKnows(t)
	})
	t.Run("the number of VMs is bounded", func(t *testing.T) {
		for n := range 1000 {
			v.Merge([]*vmpb.UnlistedVM{{Name: fmt.Sprint(n), Address: "a:1"}})
		}
		if got := len(v.Messages()); got != 512 {
			t.Errorf("%d VMs are known, want 512", got)
		}
	})
}
