package relay_test

import (
	"fmt"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/relay"
	"pgregory.net/rapid"
)

const maxFollowers = 4 + 2

func fleet(dataCentres, vms int) []hawthornrail.Member {
	var members []hawthornrail.Member
	for i := range vms {
		dc := fmt.Sprintf("dc%d", i%dataCentres+1)
		instance := hawthornrail.NewInstance(fmt.Sprintf("vm%d", i), dc, 1)
		members = append(members, hawthornrail.NewMember(instance, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), false, time.Time{}))
	}
	return members
}

func plans(members []hawthornrail.Member, failed func(string) bool) map[string]relay.Plan {
	all := make(map[string]relay.Plan)
	for i, self := range members {
		others := append(append([]hawthornrail.Member{}, members[:i]...), members[i+1:]...)
		all[self.Address()] = relay.NewPlan(self, others, failed)
	}
	return all
}

// Guards against VMs that do not get the configuration from a watching VM
// within four hops, and against VMs with too many followers, when all VMs agree
// on the members.
func TestTreeReachesEveryVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dataCentres := rapid.IntRange(1, 8).Draw(t, "data centres")
		members := fleet(dataCentres, rapid.IntRange(1, 120).Draw(t, "vms"))
		all := plans(members, func(string) bool { return false })
		followers := map[string]int{}
		for address, p := range all {
			followers[p.Source()]++
			assertReached(t, all, address)
		}
		for address, n := range followers {
			if address != "" && n > maxFollowers {
				t.Fatalf("%s has %d followers", address, n)
			}
		}
	})
}

func assertReached(t *rapid.T, all map[string]relay.Plan, address string) {
	for hops := 0; !all[address].Watches(); hops++ {
		if hops > 4 {
			t.Fatalf("%s does not get its configuration from a watching VM", address)
		}
		address = all[address].Source()
	}
}

func TestTreeAtFullSize(t *testing.T) {
	all := plans(fleet(8, 340), func(string) bool { return false })
	watching := 0
	for _, p := range all {
		if p.Watches() {
			watching++
		}
	}
	t.Logf("%d of 340 VMs in 8 data centres watch the platform", watching)
	if watching != 16 {
		t.Errorf("got %d VMs that watch, want 16", watching)
	}
}

func TestFailedSourceIsReplaced(t *testing.T) {
	members := fleet(1, 12)
	before := plans(members, func(string) bool { return false })
	for address, p := range before {
		after := plans(members, func(a string) bool { return a == p.Source() && a != address })
		if after[address].Source() == p.Source() {
			t.Errorf("%s still follows %s", address, p.Source())
		}
	}
}
