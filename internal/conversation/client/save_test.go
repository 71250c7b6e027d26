package client_test

import (
	"context"
	"slices"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/client"
)

func turn(id string) hawthornrail.Turn {
	return hawthornrail.NewTurn(hawthornrail.NewTurnRef("team", id), []byte("input"), []byte("output\n")).
		WithParent("parent").WithPlacementKey("key").WithRetention(time.UnixMilli(5000), time.Minute)
}

func assertSaved(t *testing.T, c *client.Client, id string) {
	t.Helper()
	if err := c.Save(context.Background(), turn(id)); err != nil {
		t.Errorf("turn %s: %v", id, err)
	}
}

// assertCopies checks at how many VMs a turn is, each in a data centre of its own.
func (n *network) assertCopies(t *testing.T, id string, copies int) {
	t.Helper()
	holding := n.holding(id)
	centres := make(map[string]bool)
	for _, d := range holding {
		centres[d.vm.DataCentre()] = true
	}
	if len(holding) != copies || len(centres) != copies {
		t.Errorf("turn %s has %d copies in %d data centres, want %d", id, len(holding), len(centres), copies)
	}
}

// Guards against a turn with too few copies when its response ends, or that is stored
// with a part missing.
func TestEndWaitsForAllCopies(t *testing.T) {
	n := newNetwork(2, 2, 2)
	run(t, n, 3, func(t *testing.T, c *client.Client) {
		n.set(late(60*time.Millisecond), n.vms...)
		assertTakes(t, 60*time.Millisecond, 60*time.Millisecond, func() { assertSaved(t, c, "turn") })
		n.assertCopies(t, "turn", 3)
		stored := n.holding("turn")[0].turns[0]
		if stored.GetRef().GetTeam() != "team" || string(stored.GetParent()) != "parent" || stored.GetPlacementKey() != "key" ||
			string(stored.GetInput()) != "input" || string(stored.GetOutput()) != "output\n" ||
			stored.GetCompletedUnixMs() != 5000 || stored.GetRetainMs() != 60_000 {
			t.Errorf("stored %v", stored)
		}
	})
}

// Guards against a response whose end waits for one slow copy, and against a copy that is
// not made because the end did not wait for it.
func TestSlowCopyIsMadeInTheBackground(t *testing.T) {
	n := newNetwork(1, 1, 1)
	run(t, n, 3, func(t *testing.T, c *client.Client) {
		n.set(late(700*time.Millisecond), n.vms[1])
		assertTakes(t, 100*time.Millisecond, 100*time.Millisecond, func() { assertSaved(t, c, "turn") })
		n.assertCopies(t, "turn", 2)
		time.Sleep(time.Second)
		n.assertCopies(t, "turn", 3)
		if short := n.counter("conversations.turns_with_too_few_copies"); short != 0 {
			t.Errorf("%d turns with too few copies", short)
		}
	})
}

// Guards against copies that are not made because a VM was out of reach or its disk full
// for a moment.
func TestFailedCopyIsRetried(t *testing.T) {
	n := newNetwork(1, 1)
	run(t, n, 2, func(t *testing.T, c *client.Client) {
		n.set(isFull, n.vms[1])
		assertTakes(t, 100*time.Millisecond, 100*time.Millisecond, func() { assertSaved(t, c, "turn") })
		time.Sleep(time.Second)
		n.assertCopies(t, "turn", 1)
		n.set(func(d *diskVM) { d.full = false }, n.vms[1])
		time.Sleep(2 * time.Second)
		n.assertCopies(t, "turn", 2)
		if asked := n.vms[1].asked; asked > 5 {
			t.Errorf("a VM with a full disk got the turn %d times", asked)
		}
	})
}

// Guards against a response that ends as if complete although its turn is nowhere on
// disk, and against one that waits longer than a second for that.
func TestNoCopyBreaksResponseOff(t *testing.T) {
	for name, change := range map[string]func(d *diskVM){"down": isDown, "stuck": isStuck, "full": isFull, "declining": declines} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(1, 1, 1)
			run(t, n, 2, func(t *testing.T, c *client.Client) {
				n.set(change, n.vms...)
				assertTakes(t, time.Second, time.Second, func() {
					if err := c.Save(context.Background(), turn("turn")); err == nil {
						t.Error("a turn without a copy counts as saved")
					}
				})
				if brokenOff := n.counter("conversations.responses_broken_off"); brokenOff != 1 {
					t.Errorf("%d responses counted as broken off", brokenOff)
				}
			})
		})
	}
	t.Run("no VM", func(t *testing.T) {
		run(t, newNetwork(), 2, func(t *testing.T, c *client.Client) {
			if err := c.Save(context.Background(), turn("turn")); err == nil {
				t.Error("a turn without a copy counts as saved")
			}
		})
	})
}

// Guards against a turn with too few copies because one of its VMs stores nothing: the
// next in the ranking takes its place at once.
func TestNextVMTakesThePlaceOfOneThatFails(t *testing.T) {
	for name, change := range map[string]func(d *diskVM){"full": isFull, "declining": declines} {
		t.Run(name, func(t *testing.T) {
			for i := range 4 {
				n := newNetwork(1, 1, 1, 1)
				run(t, n, 3, func(t *testing.T, c *client.Client) {
					n.set(change, n.vms[i])
					assertTakes(t, 0, 0, func() { assertSaved(t, c, "turn") })
					n.assertCopies(t, "turn", 3)
				})
			}
		})
	}
}

// Guards against turns that wait for a VM that is down: once it is suspected, the next in
// the ranking has its copies.
func TestCopiesOfVMThatIsDown(t *testing.T) {
	for i := range 4 {
		n := newNetwork(1, 1, 1, 1)
		run(t, n, 3, func(t *testing.T, c *client.Client) {
			n.set(isDown, n.vms[i])
			assertTakes(t, 0, 100*time.Millisecond, func() { assertSaved(t, c, "first") })
			time.Sleep(time.Second)
			n.assertCopies(t, "first", 3)
			assertTakes(t, 0, 0, func() { assertSaved(t, c, "second") })
			n.assertCopies(t, "second", 3)
		})
	}
}

// Guards against a data centre that serves no turns, or serves them slowly, while it is
// cut off from the others.
func TestDataCentreThatIsCutOff(t *testing.T) {
	n := newNetwork(2, 2, 2)
	run(t, n, 3, func(t *testing.T, c *client.Client) {
		n.set(isDown, n.vms[2:]...)
		assertTakes(t, 0, 100*time.Millisecond, func() { assertSaved(t, c, "first") })
		time.Sleep(5 * time.Second)
		assertTakes(t, 0, 0, func() { assertSaved(t, c, "second") })
		if holding := n.holding("second"); len(holding) != 2 || slices.ContainsFunc(holding, func(d *diskVM) bool { return d.vm.DataCentre() != "dc1" }) {
			t.Errorf("%d copies", len(holding))
		}
		if short := n.counter("conversations.turns_with_too_few_copies"); short == 0 {
			t.Error("turns with too few copies are not counted")
		}
		n.set(isDown, n.vms...)
		if err := c.Save(context.Background(), turn("third")); err == nil {
			t.Error("a turn without a copy counts as saved")
		}
		assertCode(t, c.Available(), hawthornrail.CodeTurnUncertain)
	})
}

// Guards against a request's end, or its caller that has left, that stops the copies.
func TestTurnIsSavedAfterItsRequest(t *testing.T) {
	n := newNetwork(1, 1)
	run(t, n, 2, func(t *testing.T, c *client.Client) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.set(late(30*time.Millisecond), n.vms...)
		if err := c.Save(ctx, turn("turn")); err != nil {
			t.Error(err)
		}
		n.assertCopies(t, "turn", 2)
	})
}

// Guards against turns that fill the memory while a copy of each is late.
func TestBackgroundIsBounded(t *testing.T) {
	n := newNetwork(1, 1)
	run(t, n, 2, func(t *testing.T, c *client.Client) {
		n.set(isStuck, n.vms[1])
		// Each turn has 12 bytes, and 100 are allowed.
		for range 10 {
			assertSaved(t, c, "turn")
		}
		if short := n.counter("conversations.turns_with_too_few_copies"); short != 2 {
			t.Errorf("%d turns given up at once, want 2", short)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assertTakes(t, time.Second, time.Second, func() { c.Wait(ctx) })
		assertTakes(t, time.Second, 11*time.Second, func() { c.Wait(context.Background()) })
		if short := n.counter("conversations.turns_with_too_few_copies"); short != 10 {
			t.Errorf("%d turns with too few copies, want 10", short)
		}
	})
}

// Guards against a response that waits a second for VMs that are alive and whose disks do
// not respond, while others could store its turn.
func TestStuckVMsAreReplaced(t *testing.T) {
	n := newNetwork(1, 1, 1, 1)
	run(t, n, 2, func(t *testing.T, c *client.Client) {
		n.set(isStuck, n.vms...)
		if err := c.Save(context.Background(), turn("first")); err == nil {
			t.Error("a turn without a copy counts as saved")
		}
		for i := range n.vms {
			for j := range i {
				n.set(func(d *diskVM) { d.stuck = d != n.vms[i] && d != n.vms[j] }, n.vms...)
				assertTakes(t, 0, 100*time.Millisecond, func() { assertSaved(t, c, "second") })
			}
		}
	})
}
