package mirror_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"hawthornrail.example/hawthornrail/internal/config/mirror"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	boundedKindName = "bounded kind"
	// boundedInForce is how long a change of the bounded kind may take.
	boundedInForce = 5 * time.Second
)

func mirrorsBoundedKind(v *simVM) { v.bounded = boundedInForce }

// Guards against changes of a kind that arrive late although those of the configuration
// do not: the store does not respond to the watches of that kind, or not at all.
func TestChangeOfBoundedKindArrives(t *testing.T) {
	silent := func(v *simVM) { v.silence(boundedKindName) }
	for _, f := range []struct {
		name          string
		first, second func(*simVM)
	}{
		{"no watch of the kind is responded to", silent, silent},
		{"the store is silent to one, and to the other's watch of the kind", silent, loseStore},
		{"the store is silent to both", loseStore, loseStore},
		{"one is dark", goDark, silent},
	} {
		t.Run(f.name, func(t *testing.T) {
			for offset := time.Duration(0); offset < 4*time.Second; offset += 250 * time.Millisecond {
				simulateWith(t, []string{"a1", "a2", "a3", "b1", "b2"}, mirrorsBoundedKind, func(_ context.Context, fleet *simFleet) {
					time.Sleep(20*time.Second + offset)
					f.first(fleet.vms["a1"])
					f.second(fleet.vms["a2"])
					time.Sleep(faultDelay)
					revision, start := fleet.store.change(), time.Now()
					for _, address := range []string{"a1", "a2", "a3", "b1", "b2"} {
						v := fleet.vms[address]
						if v.isDark() {
							continue
						}
						v.awaitRevisionOf(boundedKindName, revision)
						if took := time.Since(start); took > boundedInForce {
							t.Errorf("%s: the change takes %v, want %v at most; offset %v", address, took, boundedInForce, offset)
						}
					}
				})
			}
		})
	}
}

// Guards against a watch of the bounded kind that waits as long as those of other kinds,
// where no other VM has heard of the change.
func TestWatchOfBoundedKindIsRepeated(t *testing.T) {
	for offset := time.Duration(0); offset < 4*time.Second; offset += 250 * time.Millisecond {
		simulateWith(t, []string{"a1"}, mirrorsBoundedKind, func(_ context.Context, fleet *simFleet) {
			v := fleet.vms["a1"]
			time.Sleep(20*time.Second + offset)
			v.breakWatches()
			time.Sleep(hop)
			if took := v.awaitRevisionOf(boundedKindName, fleet.store.change()); took > boundedInForce {
				t.Errorf("the change takes %v, want %v at most", took, boundedInForce)
			}
		})
	}
}

// Guards against a VM that relies on VMs of a build or with settings that do not mirror
// the kind.
func TestVMsWithoutBoundedKindAreNotReliedOn(t *testing.T) {
	setUp := func(v *simVM) {
		if v.address == "a3" {
			v.bounded = boundedInForce
		}
	}
	simulateWith(t, []string{"a1", "a2", "a3", "b1"}, setUp, func(_ context.Context, fleet *simFleet) {
		time.Sleep(20 * time.Second)
		v := fleet.vms["a3"]
		if took := v.awaitRevisionOf(boundedKindName, fleet.store.change()); took > boundedInForce {
			t.Errorf("the change takes %v, want %v at most", took, boundedInForce)
		}
	})
}

// Guards against VMs that all watch the store at rest because the confirmations of the
// bounded kind expire too early.
func TestFollowingVMsDoNotWatchBoundedKind(t *testing.T) {
	const seconds = 60
	var calls int
	simulateWith(t, []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"}, mirrorsBoundedKind, func(_ context.Context, fleet *simFleet) {
		time.Sleep(10 * time.Second)
		before := fleet.store.callCount()
		time.Sleep(seconds * time.Second)
		calls = fleet.store.callCount() - before
	})
	// Two VMs watch, the configuration a little more than once a second and the other
	// kind every two seconds.
	if limit := 2 * seconds * 2; calls > limit {
		t.Errorf("%d calls in %d s, want %d at most", calls, seconds, limit)
	}
}

// Guards against a difference in the messages of a VM that mirrors no bounded kind.
func TestMessagesWithoutBoundedKind(t *testing.T) {
	simulate(t, []string{"a1", "a2"}, func(ctx context.Context, fleet *simFleet) {
		time.Sleep(time.Second)
		reply := mirror.Serve(fleet.vms["a1"].exchange, ctx, &vmpb.ObjectsAsk{Held: []*vmpb.ObjectsHeld{{Kind: kind, Revision: 1}}})
		encoded, err := proto.Marshal(reply)
		if err != nil {
			t.Fatal(err)
		}
		reply.ConfirmedKinds = nil
		without, err := proto.Marshal(reply)
		if err != nil || !slices.Equal(encoded, without) {
			t.Errorf("reply %x, want %x; error %v", encoded, without, err)
		}
	})
}

// Guards against a new process that relies on its configuration before it knows the
// objects of the bounded kind.
func TestBoundedKindIsConfirmedFirst(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	h := mirror.NewStoreHealth("dc1", inForceTimeout)
	h.RequireKind(boundedKindName, boundedInForce)
	h.Confirmed(start)
	if h.LastConfirmed().After(start.Add(-time.Hour)) || h.Current(start) {
		t.Error("confirmed without the bounded kind")
	}
	h.ConfirmedKind(boundedKindName, start)
	if h.LastConfirmed() != start || !h.Current(start) {
		t.Errorf("confirmed at %v, want %v", h.LastConfirmed(), start)
	}
	h.Confirmed(start.Add(4 * time.Second))
	if h.Current(start.Add(4 * time.Second)) {
		t.Error("current although the bounded kind was confirmed 4 s ago")
	}
}
