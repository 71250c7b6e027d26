package mirror_test

import (
	"context"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/mirror"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
)

const (
	// cacheLag is how many revisions a cached list lacks.
	cacheLag = 30
	// calls is the time of the two calls with which a new process catches up.
	calls = 6 * hop
)

// startLate starts one more VM in a fleet that has run for a while, whose store has
// made many changes that cached lists lack.
func startLate(ctx context.Context, fleet *simFleet, address string, turnedAway bool) (*simVM, *mirror.Freshness) {
	time.Sleep(10 * time.Second)
	addresses := []string{address}
	for a := range fleet.vms {
		addresses = append(addresses, a)
	}
	v := &simVM{fleet: fleet, address: address, turnedAway: turnedAway, mirror: mirror.New(func(string, string, uint64, []hawthornrail.Object) {})}
	v.cachedRevision, _ = fleet.store.state()
	for range cacheLag {
		fleet.store.change()
	}
	time.Sleep(time.Second)
	fleet.add(v)
	v.start(ctx, addresses)
	return v, mirror.NewFreshness(v.storeHealth, clock.Real())
}

// Guards against CONFIG: a new process decides by a cached list until its first watch,
// and refuses what later versions allow.
func TestNewProcessCatchesUp(t *testing.T) {
	t.Run("at once", func(t *testing.T) {
		simulate(t, []string{"a1", "b1"}, func(ctx context.Context, fleet *simFleet) {
			v, freshness := startLate(ctx, fleet, "c1", false)
			newest, _ := fleet.store.state()
			if took := v.awaitRevision(newest); took > calls {
				t.Errorf("caught up after %v, want %v", took, calls)
			}
			if !freshness.Usable() || !freshness.Current() {
				t.Error("the newest configuration does not count as confirmed")
			}
		})
	})
	t.Run("from another VM if the store turns it away", func(t *testing.T) {
		simulate(t, []string{"a1", "b1"}, func(ctx context.Context, fleet *simFleet) {
			v, freshness := startLate(ctx, fleet, "b2", true)
			newest, _ := fleet.store.state()
			for !freshness.Usable() {
				time.Sleep(hop)
			}
			if got := v.mirror.Revision(kind); got < newest || !freshness.Current() {
				t.Errorf("usable at revision %d, current %t; want %d", got, freshness.Current(), newest)
			}
		})
	})
	t.Run("not confirmed by anyone", func(t *testing.T) {
		simulate(t, []string{"a1", "b1"}, func(ctx context.Context, fleet *simFleet) {
			goDark(fleet.vms["a1"])
			goDark(fleet.vms["b1"])
			_, freshness := startLate(ctx, fleet, "b2", true)
			if freshness.Usable() {
				t.Error("usable at once")
			}
			time.Sleep(5 * time.Second)
			if !freshness.Usable() || freshness.Current() {
				t.Errorf("usable %t, current %t; want only usable", freshness.Usable(), freshness.Current())
			}
		})
	})
}

// Guards against full lists by many VMs at once: a VM whose watch has failed fetches
// only the changes since.
func TestFailedWatchNeedsNoList(t *testing.T) {
	simulate(t, []string{"a1"}, func(_ context.Context, fleet *simFleet) {
		v := fleet.vms["a1"]
		time.Sleep(10 * time.Second)
		lists := fleet.store.listCount()
		loseStore(v)
		time.Sleep(10 * time.Second)
		v.fail(false, false)
		time.Sleep(3 * time.Second)
		if took := v.awaitRevision(fleet.store.change()); took > inForceTimeout {
			t.Errorf("the change takes %v", took)
		}
		if got := fleet.store.listCount() - lists; got > 0 {
			t.Errorf("%d lists, want none", got)
		}
	})
}

// Guards against a VM that asks again and again for changes that it can't read.
func TestUnreadableChangesAreListed(t *testing.T) {
	simulate(t, []string{"a1"}, func(_ context.Context, fleet *simFleet) {
		v := fleet.vms["a1"]
		time.Sleep(10 * time.Second)
		v.setUnreadable(true)
		if took := v.awaitRevision(fleet.store.change()); took > inForceTimeout {
			t.Errorf("the change takes %v", took)
		}
	})
}
