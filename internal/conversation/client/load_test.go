package client_test

import (
	"context"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/client"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	found     = vmpb.ChainState_CHAIN_STATE_FOUND
	foreign   = vmpb.ChainState_CHAIN_STATE_FOREIGN
	uncertain = vmpb.ChainState_CHAIN_STATE_UNCERTAIN
)

func holds(state vmpb.ChainState) func(d *diskVM) { return func(d *diskVM) { d.state = state } }
func isDown(d *diskVM)                            { d.down = true }
func isStuck(d *diskVM)                           { d.stuck = true }
func declines(d *diskVM)                          { d.declining = true }
func isFull(d *diskVM)                            { d.full = true }

func late(delay time.Duration) func(d *diskVM) { return func(d *diskVM) { d.delay = delay } }

func load(c *client.Client) (hawthornrail.Chain, error) {
	return c.Chain(context.Background(), hawthornrail.NewChainQuery(hawthornrail.NewTurnRef("team", "turn"), program))
}

func assertLoaded(t *testing.T, c *client.Client) {
	t.Helper()
	chain, err := load(c)
	if err != nil {
		t.Fatal(err)
	}
	if string(chain.Content()) != "chain of turn" || chain.PlacementKey() != "key" || chain.Turns() != 2 {
		t.Errorf("chain %q of %d turns with key %q", chain.Content(), chain.Turns(), chain.PlacementKey())
	}
}

// Guards against chains that are fetched from other data centres, or several times,
// although the own data centre has a copy.
func TestOwnDataCentreIsAskedFirst(t *testing.T) {
	n := newNetwork(1, 1, 1)
	run(t, n, 3, func(t *testing.T, c *client.Client) {
		n.set(holds(found), n.vms...)
		assertTakes(t, 0, 0, func() { assertLoaded(t, c) })
		if asked := n.asked(); len(asked) != 1 || asked[0].vm.DataCentre() != "dc1" {
			t.Errorf("%d VMs asked", len(asked))
		}
	})
}

// Guards against a request that waits for a slow copy while another VM has the chain.
func TestNextVMIsAskedIfOneIsLate(t *testing.T) {
	n := newNetwork(1, 1, 1)
	run(t, n, 2, func(t *testing.T, c *client.Client) {
		n.set(holds(found), n.vms...)
		n.set(late(70*time.Millisecond), n.vms...)
		assertTakes(t, 70*time.Millisecond, 70*time.Millisecond, func() { assertLoaded(t, c) })
		if asked := n.asked(); len(asked) != 2 {
			t.Errorf("%d VMs asked, want 2: one after 50 ms", len(asked))
		}
	})
}

// Guards against an unknown turn that is stored, but under the key of another program or
// at a VM that took the place of one that was down.
func TestAllVMsAreAsked(t *testing.T) {
	n := newNetwork(2, 2, 2)
	run(t, n, 2, func(t *testing.T, c *client.Client) {
		_, err := load(c)
		assertCode(t, err, hawthornrail.CodeUnknownTurn)
		if asked := n.asked(); len(asked) != 6 {
			t.Errorf("%d of 6 VMs asked", len(asked))
		}
		for _, holder := range n.vms {
			n.set(holds(found), holder)
			assertTakes(t, 0, 0, func() { assertLoaded(t, c) })
			n.set(holds(vmpb.ChainState_CHAIN_STATE_UNKNOWN), holder)
		}
	})
}

// Guards against 404 for a turn that is stored, and against 503 for ever for one that is
// not. In each case the VM that behaves in another way is any of them.
func TestUnknownOrUncertain(t *testing.T) {
	for name, c := range map[string]struct {
		change func(d *diskVM)
		code   hawthornrail.Code
	}{
		"all reply that it is unknown":   {func(*diskVM) {}, hawthornrail.CodeUnknownTurn},
		"one holds another team's":       {holds(foreign), hawthornrail.CodeUnknownTurn},
		"one is uncertain":               {holds(uncertain), hawthornrail.CodeTurnUncertain},
		"one sends an unspecified state": {holds(vmpb.ChainState_CHAIN_STATE_UNSPECIFIED), hawthornrail.CodeTurnUncertain},
		"one declines":                   {declines, hawthornrail.CodeTurnUncertain},
		"one is down":                    {isDown, hawthornrail.CodeTurnUncertain},
		"one is stuck":                   {isStuck, hawthornrail.CodeTurnUncertain},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range 4 {
				n := newNetwork(2, 1, 1)
				run(t, n, 2, func(t *testing.T, client *client.Client) {
					n.set(c.change, n.vms[i])
					_, err := load(client)
					assertCode(t, err, c.code)
				})
			}
		})
	}
}

// Guards against 404 without a list of VMs, or by one that lacks a VM.
func TestListThatIsNotCurrent(t *testing.T) {
	t.Run("no VM", func(t *testing.T) {
		n := newNetwork()
		run(t, n, 2, func(t *testing.T, c *client.Client) {
			_, err := load(c)
			assertCode(t, err, hawthornrail.CodeTurnUncertain)
			assertCode(t, c.Available(0), hawthornrail.CodeTurnUncertain)
		})
	})
	t.Run("no VM of a data centre", func(t *testing.T) {
		n := newNetwork(1, 1, 0)
		run(t, n, 2, func(t *testing.T, c *client.Client) {
			_, err := load(c)
			assertCode(t, err, hawthornrail.CodeTurnUncertain)
			if err := c.Available(0); err != nil {
				t.Error(err)
			}
		})
	})
	t.Run("outdated", func(t *testing.T) {
		n := newNetwork(1, 1, 1)
		n.outdated = true
		run(t, n, 2, func(t *testing.T, c *client.Client) {
			_, err := load(c)
			assertCode(t, err, hawthornrail.CodeTurnUncertain)
		})
	})
}

// Guards against a team that makes another team's turns unknown by IDs of its own that
// are the same: the turn is searched at all VMs.
func TestTwoTeamsUseTheSameID(t *testing.T) {
	n := newNetwork(1, 1, 1)
	run(t, n, 2, func(t *testing.T, c *client.Client) {
		for _, holder := range n.vms {
			n.set(holds(foreign), n.vms...)
			n.set(holds(found), holder)
			assertLoaded(t, c)
		}
	})
}

// Guards against 404 because of another team's turn with the same ID, while the VM that
// holds the caller's own turn does not respond.
func TestForeignTurnWhileVMIsDown(t *testing.T) {
	n := newNetwork(1, 1, 1)
	run(t, n, 2, func(t *testing.T, c *client.Client) {
		n.set(holds(foreign), n.vms...)
		n.set(isDown, n.vms[1])
		_, err := load(c)
		assertCode(t, err, hawthornrail.CodeTurnUncertain)
	})
}

// Guards against a request that waits for a VM that is down: the first one finds out by a
// probe, and later ones ask it last and wait for it briefly.
func TestVMThatIsDown(t *testing.T) {
	n := newNetwork(1, 1, 1)
	run(t, n, 3, func(t *testing.T, c *client.Client) {
		n.set(isDown, n.vms[0])
		assertTakes(t, 300*time.Millisecond, 300*time.Millisecond, func() {
			_, err := load(c)
			assertCode(t, err, hawthornrail.CodeTurnUncertain)
		})
		assertTakes(t, 100*time.Millisecond, 100*time.Millisecond, func() {
			_, err := load(c)
			assertCode(t, err, hawthornrail.CodeTurnUncertain)
		})
		n.set(holds(found), n.vms[1:]...)
		n.forget()
		assertTakes(t, 0, 0, func() { assertLoaded(t, c) })
		if asked := n.asked(); len(asked) != 1 {
			t.Errorf("%d VMs asked, want one that is up", len(asked))
		}
		if err := c.Available(0); err != nil {
			t.Error(err)
		}
		n.set(func(d *diskVM) { d.down, d.state = false, found }, n.vms[0])
		time.Sleep(3 * time.Second)
		n.forget()
		assertLoaded(t, c)
		if asked := n.asked(); len(asked) != 1 || asked[0] != n.vms[0] {
			t.Error("a VM that responds again is not asked")
		}
	})
}

// Guards against a search that outlasts the request's deadline.
func TestDeadlineBoundsSearch(t *testing.T) {
	n := newNetwork(1, 1, 1)
	run(t, n, 3, func(t *testing.T, c *client.Client) {
		n.set(isStuck, n.vms...)
		ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		defer cancel()
		assertTakes(t, 400*time.Millisecond, 400*time.Millisecond, func() {
			_, err := c.Chain(ctx, hawthornrail.NewChainQuery(hawthornrail.NewTurnRef("team", "turn"), program))
			assertCode(t, err, hawthornrail.CodeTurnUncertain)
		})
		assertTakes(t, 2*time.Second, 2*time.Second, func() {
			_, err := load(c)
			assertCode(t, err, hawthornrail.CodeTurnUncertain)
		})
	})
}

// Guards against metrics that count a chain under another source.
func TestChainsAreCountedBySource(t *testing.T) {
	n := newNetwork(1, 1)
	run(t, n, 2, func(t *testing.T, c *client.Client) {
		_, err := load(c)
		assertCode(t, err, hawthornrail.CodeUnknownTurn)
		n.set(holds(found), n.vms[1])
		assertLoaded(t, c)
		n.set(holds(found), n.vms...)
		assertLoaded(t, c)
		for _, source := range []string{"none", "other", "own_data_centre"} {
			if count := n.counter(`conversations.chains{source="` + source + `"}`); count != 1 {
				t.Errorf("%d chains from %s", count, source)
			}
		}
	})
}

// Guards against 404 because of another team's turn with the same ID, before the deadline
// lets all VMs reply.
func TestDeadlineEndsSearchAfterForeignTurn(t *testing.T) {
	n := newNetwork(1, 1, 1)
	run(t, n, 2, func(t *testing.T, c *client.Client) {
		n.set(holds(foreign), n.vms[0])
		n.set(isStuck, n.vms[1:]...)
		ctx, cancel := context.WithTimeout(context.Background(), 40*time.Millisecond)
		defer cancel()
		_, err := c.Chain(ctx, hawthornrail.NewChainQuery(hawthornrail.NewTurnRef("team", "turn"), program))
		assertCode(t, err, hawthornrail.CodeTurnUncertain)
	})
}
