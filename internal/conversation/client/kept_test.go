package client_test

import (
	"context"
	"errors"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/client"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// keepInStore lets the platform's store keep a turn that no VM has.
func (n *network) keepInStore(t *testing.T, id, parent string) {
	t.Helper()
	kept := hawthornrail.NewTurn(hawthornrail.NewTurnRef("team", id), []byte("input of "+id), []byte("output of "+id+"\n")).
		WithParent(parent).WithPlacementKey("key").WithRetention(time.UnixMilli(5000), time.Minute)
	if _, err := n.keeper.Keep(context.Background(), kept); err != nil {
		t.Fatal(err)
	}
}

func loadTurn(c *client.Client, team, id string) (hawthornrail.Chain, error) {
	return c.Chain(context.Background(), hawthornrail.NewChainQuery(hawthornrail.NewTurnRef(team, id), program))
}

// Guards against 404 for a turn that only the platform's store has, and against a chain that
// lacks a part because its turns are at different places.
func TestKeptTurnIsContinued(t *testing.T) {
	assertChain := func(t *testing.T, c *client.Client, id, content string, turns int) {
		t.Helper()
		chain, err := loadTurn(c, "team", id)
		if err != nil || string(chain.Content()) != content || chain.Turns() != turns || chain.PlacementKey() != "key" {
			t.Errorf("chain %q of %d turns with key %q, error %v", chain.Content(), chain.Turns(), chain.PlacementKey(), err)
		}
	}
	n := newNetwork(1, 1, 1)
	run(t, n, 3, func(t *testing.T, c *client.Client) {
		n.keepInStore(t, "first", "")
		n.keepInStore(t, "second", "first")
		assertChain(t, c, "first", "input of firstoutput of first\n", 1)
		assertChain(t, c, "second", "input of firstoutput of first\ninput of secondoutput of second\n", 2)
		time.Sleep(time.Second)
		for _, id := range []string{"first", "second"} {
			n.assertCopies(t, id, 3)
			n.assertKept(t, id, false)
		}
	})
	t.Run("its parent is on disk", func(t *testing.T) {
		n := newNetwork(1, 1, 1)
		run(t, n, 3, func(t *testing.T, c *client.Client) {
			n.set(func(d *diskVM) { d.holds = "parent" }, n.vms[1])
			n.keepInStore(t, "child", "parent")
			assertChain(t, c, "child", "chain of parentinput of childoutput of child\n", 3)
		})
	})
}

// Guards against a kept turn that reaches an endpoint without the turns before it, or whose
// caller is told that it does not exist because they are out of reach.
func TestKeptTurnWithoutItsParent(t *testing.T) {
	for name, parent := range map[string]string{"nobody has it": "lost", "it follows itself": "turn"} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(1, 1, 1)
			run(t, n, 3, func(t *testing.T, c *client.Client) {
				n.keepInStore(t, "turn", parent)
				_, err := load(c)
				assertCode(t, err, hawthornrail.CodeTurnUncertain)
			})
		})
	}
}

// Guards against 404 while the platform's store may keep the turn, and against a team that
// gets another team's kept turn.
func TestUnknownOnlyIfStoreKeepsNone(t *testing.T) {
	for name, fails := range map[string]func(k *keeper){"stuck": func(k *keeper) { k.stuck = true }, "down": func(k *keeper) { k.down = true }} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(1, 1, 1)
			run(t, n, 3, func(t *testing.T, c *client.Client) {
				n.keeper.set(fails)
				for range 5 {
					_, err := load(c)
					assertCode(t, err, hawthornrail.CodeTurnUncertain)
				}
				if n.keeper.calls > 3 {
					t.Errorf("%d calls of a store that does not respond", n.keeper.calls)
				}
				n.keeper.set(func(k *keeper) { k.stuck, k.down = false, false })
				time.Sleep(time.Second)
				_, err := load(c)
				assertCode(t, err, hawthornrail.CodeTurnUncertain)
				time.Sleep(time.Millisecond)
				_, err = load(c)
				assertCode(t, err, hawthornrail.CodeUnknownTurn)
			})
		})
	}
	t.Run("another team's", func(t *testing.T) {
		n := newNetwork(1, 1, 1)
		run(t, n, 3, func(t *testing.T, c *client.Client) {
			n.keepInStore(t, "turn", "")
			_, err := loadTurn(c, "other", "turn")
			assertCode(t, err, hawthornrail.CodeUnknownTurn)
		})
	})
}

// Guards against 404 for a turn that moves from the platform's store to the disks while it is
// searched: the disks are asked before, and the store after that.
func TestKeptTurnThatIsDeliveredMeanwhile(t *testing.T) {
	n := newNetwork(1, 1, 1)
	run(t, n, 3, func(t *testing.T, c *client.Client) {
		n.keeper.set(func(k *keeper) { k.delay = 50 * time.Millisecond })
		time.AfterFunc(20*time.Millisecond, func() { n.set(holds(found), n.vms...) })
		assertLoaded(t, c)
	})
}

// Guards against calls of the full price for each search that ends uncertain anyway, and
// against 404 by a reply of the store that is some seconds old.
func TestCachedReplyIsEnoughUnlessUnknown(t *testing.T) {
	n := newNetwork(1, 1, 1)
	run(t, n, 3, func(t *testing.T, c *client.Client) {
		n.set(holds(uncertain), n.vms[1])
		_, err := load(c)
		assertCode(t, err, hawthornrail.CodeTurnUncertain)
		if n.keeper.calls != 1 || n.keeper.cached != 1 {
			t.Errorf("%d calls, %d of them cached", n.keeper.calls, n.keeper.cached)
		}
		n.keepInStore(t, "turn", "")
		n.keeper.set(func(k *keeper) { k.outdated = true })
		_, err = load(c)
		assertCode(t, err, hawthornrail.CodeTurnUncertain)
		n.set(holds(vmpb.ChainState_CHAIN_STATE_UNKNOWN), n.vms[1])
		if _, err := load(c); err != nil {
			t.Error(err)
		}
	})
}

// Guards against calls that are charged to the platform's store although VMs have the chain,
// and against a caller that left which counts as a failure of the store.
func TestStoreIsAskedLast(t *testing.T) {
	n := newNetwork(1, 1, 1)
	run(t, n, 3, func(t *testing.T, c *client.Client) {
		n.set(holds(found), n.vms[2])
		assertLoaded(t, c)
		if n.keeper.calls != 0 {
			t.Errorf("%d calls of the store", n.keeper.calls)
		}
		n.set(holds(vmpb.ChainState_CHAIN_STATE_UNKNOWN), n.vms[2])
		n.keeper.set(func(k *keeper) { k.stuck = true })
		for range 5 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			_, err := c.Chain(ctx, hawthornrail.NewChainQuery(hawthornrail.NewTurnRef("team", "turn"), program))
			cancel()
			assertCode(t, err, hawthornrail.CodeTurnUncertain)
		}
		n.keeper.set(func(k *keeper) { k.stuck = false })
		var f *hawthornrail.Failure
		if _, err := load(c); !errors.As(err, &f) || f.Code() != hawthornrail.CodeUnknownTurn {
			t.Errorf("error %v", err)
		}
	})
}
