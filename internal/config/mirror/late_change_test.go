package mirror_test

import (
	"context"
	"testing"
	"time"
)

const (
	// inForceTimeout is how long after its confirmation a change may take to
	// reach a VM that the store responds to.
	inForceTimeout = 2 * time.Second
	// faultDelay is the time from a fault to the next change.
	faultDelay = 50 * time.Millisecond
	// giveUp is when the wait for a change ends.
	giveUp = 20 * time.Second
)

func goDark(v *simVM)    { v.fail(true, false) }
func loseStore(v *simVM) { v.fail(false, true) }
func stayWell(*simVM)    {}

// Guards against CONFIG: a VM goes on to follow VMs that are dark, or that the
// store no longer responds to, and refuses requests as an older version says.
func TestChangeArrivesAlthoughFollowedVMsFail(t *testing.T) {
	faults := []struct {
		name          string
		first, second func(*simVM)
	}{
		{"both are dark", goDark, goDark},
		{"the store is silent to both", loseStore, loseStore},
		{"one is dark and the store is silent to the other", goDark, loseStore},
		{"one is dark", goDark, stayWell},
		{"the store is silent to one", loseStore, stayWell},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			// The faults begin at different times within the polls.
			for offset := time.Duration(0); offset < 2500*time.Millisecond; offset += 100 * time.Millisecond {
				var took time.Duration
				simulate(t, []string{"a1", "a2", "a3", "b1", "b2"}, func(_ context.Context, fleet *simFleet) {
					time.Sleep(20 * time.Second)
					fleet.store.change()
					time.Sleep(offset)
					f.first(fleet.vms["a1"])
					f.second(fleet.vms["a2"])
					// No VM of the other data centre can help.
					goDark(fleet.vms["b1"])
					goDark(fleet.vms["b2"])
					time.Sleep(faultDelay)
					took = fleet.vms["a3"].awaitRevision(fleet.store.change())
				})
				assertInTime(t, took, "fault %v after the previous change", offset)
			}
		})
	}
}

// Guards against CONFIG: a VM to which the store does not respond asks other VMs
// too seldom, and of those mostly dark ones.
func TestChangeArrivesThroughOneOfManyVMs(t *testing.T) {
	for i := range 40 {
		var took time.Duration
		simulate(t, []string{"a1", "a2", "b1", "b2", "b3", "c1", "c2"}, func(_ context.Context, fleet *simFleet) {
			time.Sleep(10*time.Second + time.Duration(i)*50*time.Millisecond)
			for _, address := range []string{"a2", "b1", "b3", "c1", "c2"} {
				goDark(fleet.vms[address])
			}
			loseStore(fleet.vms["a1"])
			// After this time the VM has noticed that the store is silent.
			time.Sleep(3 * time.Second)
			took = fleet.vms["a1"].awaitRevision(fleet.store.change())
		})
		assertInTime(t, took, "run %d", i)
	}
}

func assertInTime(t *testing.T, took time.Duration, format string, args ...any) {
	t.Helper()
	if took > inForceTimeout {
		t.Errorf("the change takes %v, want %v at most: "+format, append([]any{took, inForceTimeout}, args...)...)
	}
}

// Guards against VMs that all watch the store at rest because the confirmations
// of the VMs that they follow expire too early.
func TestFollowingVMsDoNotCallTheStore(t *testing.T) {
	const seconds = 60
	var calls int
	simulate(t, []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"}, func(_ context.Context, fleet *simFleet) {
		time.Sleep(10 * time.Second)
		before := fleet.store.callCount()
		time.Sleep(seconds * time.Second)
		calls = fleet.store.callCount() - before
	})
	// Two VMs watch, a little more than once a second each.
	if limit := 2 * seconds * 5 / 4; calls > limit {
		t.Errorf("%d calls in %d s, want %d at most", calls, seconds, limit)
	}
}
