package rate_test

import (
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/team/rate"
)

// newSteadySimulation returns a simulation without faults that has run until
// all buckets are full.
func newSteadySimulation(rps, burst float64, vms []hawthornrail.VM) *simulation {
	sim := newSimulation(1, rps, burst, vms)
	for _, m := range sim.machines {
		sim.start(m)
	}
	sim.runUntil(time.Minute)
	return sim
}

func assertNear(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if got < want-within || got > want+within {
		t.Errorf("%s: got %.3f, want %.3f within %.3f", what, got, want, within)
	}
}

func TestGrants(t *testing.T) {
	self := hawthornrail.NewInstance("vm0", "dc0", 1)
	borrow := func() (*rate.Borrower, rate.BorrowRequest) {
		b := rate.NewBorrower()
		return b, b.Request("vm1", 3, origin)
	}
	reply := func(r rate.BorrowRequest) rate.BorrowReply { return rate.NewBorrowReply(r.Number(), 3, 0, 0) }
	t.Run("second reply grants nothing", func(t *testing.T) {
		b, r := borrow()
		b.HandleReply(reply(r), origin)
		b.HandleReply(reply(r), origin)
		assertNear(t, "tokens", b.Tokens(origin), 3, 0)
	})
	t.Run("late reply grants nothing", func(t *testing.T) {
		b, r := borrow()
		b.HandleReply(reply(r), origin.Add(time.Second))
		assertNear(t, "tokens", b.Tokens(origin.Add(time.Second)), 0, 0)
	})
	t.Run("tokens expire", func(t *testing.T) {
		b, r := borrow()
		b.HandleReply(reply(r), origin)
		assertNear(t, "tokens", b.Tokens(origin.Add(time.Second)), 0, 0)
	})
	t.Run("repeated request is deducted once", func(t *testing.T) {
		sim := newSteadySimulation(10, 10, newVMs(1, 1))
		now := sim.clock(sim.machines[0])
		sim.machines[0].account.Lend(self, rate.NewBorrowRequest("vm0", 1, 3, nil), now)
		again := sim.machines[0].account.Lend(self, rate.NewBorrowRequest("vm0", 1, 3, nil), now)
		assertNear(t, "left", again.Remaining(), 7, 0.01)
	})
	t.Run("unused tokens are returned once", func(t *testing.T) {
		sim := newSteadySimulation(10, 10, newVMs(1, 1))
		now := sim.clock(sim.machines[0])
		sim.machines[0].account.Lend(self, rate.NewBorrowRequest("vm0", 1, 6, nil), now)
		settle := rate.NewBorrowRequest("vm0", 2, 0, []rate.Settlement{rate.NewSettlement(1, 2)})
		sim.machines[0].account.Lend(self, settle, now)
		again := sim.machines[0].account.Lend(self, settle, now)
		assertNear(t, "left", again.Remaining(), 6, 0.01)
	})
}

// Guards against a bucket that, once a grant has expired, fills retroactively
// for the time in which the grant took up its space; found with seed
// 13838450197765053754.
func TestOutstandingGrantTakesBucketSpace(t *testing.T) {
	sim := newSteadySimulation(1, 2, newVMs(1, 1))
	a, now := sim.machines[0].account, sim.clock(sim.machines[0])
	a.Lend(hawthornrail.NewInstance("vm1", "dc0", 1), rate.NewBorrowRequest("vm0", 1, 1, nil), now)
	reply := a.Lend(sim.machines[0].instance, rate.NewBorrowRequest("vm0", 2, 0, nil), now.Add(1500*time.Millisecond))
	assertNear(t, "tokens", reply.Remaining(), 1.47, 0.001)
}

func TestRetryAfterIsSpread(t *testing.T) {
	sim := newSteadySimulation(10, 10, newVMs(1, 1))
	a, now := sim.machines[0].account, sim.clock(sim.machines[0])
	for range 10 {
		a.Admit(now)
	}
	seen := make(map[time.Duration]bool)
	var longest time.Duration
	for range 100 {
		ok, wait := a.Admit(now), a.Refuse(now)
		if ok || wait < 100*time.Millisecond || wait%time.Millisecond != 0 {
			t.Fatalf("got %s, %v, want a refusal with the time until there is a token", wait, ok)
		}
		seen[wait] = true
		longest = max(longest, wait)
	}
	if len(seen) < 50 || longest < 2*time.Second {
		t.Errorf("100 refusals have %d distinct retry times up to %s, want them spread", len(seen), longest)
	}
}

// A VM that starts while another holder is dead tells callers to retry no later
// than the end of its wait for that holder.
func TestRetryAfterWhileStarting(t *testing.T) {
	sim := newSimulation(1, 10, 10, newVMs(2, 1))
	sim.start(sim.machines[0])
	sim.runUntil(2 * time.Second)
	now := sim.clock(sim.machines[0])
	ok, wait := sim.machines[0].account.Admit(now), sim.machines[0].account.Refuse(now)
	if ok || wait < time.Second || wait > 10*time.Second {
		t.Errorf("got %s, %v, want a refusal of at most 10 s", wait, ok)
	}
}

func TestFirstRequestIsAdmitted(t *testing.T) {
	sim := newSteadySimulation(5, 20, newVMs(9, 3))
	sim.request(sim.machines[3])
	sim.runUntil(sim.now + time.Second)
	assertNear(t, "admitted", float64(sim.admitted), 1, 0)
}

// A data centre behind a network partition keeps using its own shares, before
// and after a reduction of the rate that does not reach it.
func TestPartitionedDataCentreKeepsShare(t *testing.T) {
	sim := newSteadySimulation(90, 90, newVMs(9, 3))
	sim.partitioned["dc0"] = true
	c := sim.configs[0]
	c.rate = 45
	sim.schedule(sim.now+10*time.Second, func() { sim.acceptConfig(c) })
	// dc0 uses 20 of its 30 requests a second; the others use 12 of the 15 that
	// the reduced rate leaves to them.
	for at := sim.now; at < sim.now+40*time.Second; at += 50 * time.Millisecond {
		sim.schedule(at, func() { sim.request(sim.machines[3*sim.rng.IntN(3)]) })
	}
	for at := sim.now + 17*time.Second; at < sim.now+40*time.Second; at += 80 * time.Millisecond {
		sim.schedule(at, func() { sim.request(sim.machines[3*sim.rng.IntN(3)+1+sim.rng.IntN(2)]) })
	}
	sim.runUntil(sim.now + 41*time.Second)
	assertWithinRate(t, sim)
	t.Logf("%d admitted, %d refused", sim.admitted, sim.refused)
	assertNear(t, "refused", float64(sim.refused), 0, 10)
}

// Guards against a restarted holder that admits requests while grants of its
// previous process may still be used.
func TestRestartedHolderWaitsForEarlierGrants(t *testing.T) {
	sim := newSteadySimulation(10, 10, newVMs(1, 1))
	m := sim.machines[0]
	lent := m.account.Lend(hawthornrail.NewInstance("vm1", "dc0", 1), rate.NewBorrowRequest("vm0", 1, 10, nil), sim.clock(m))
	assertNear(t, "lent", lent.Amount(), 10, 0.01)
	sim.kill(m)
	sim.start(m)
	probe := func() float64 {
		return m.account.Lend(m.instance, rate.NewBorrowRequest("vm0", 9, 0, nil), sim.clock(m)).Remaining()
	}
	sim.runUntil(sim.now + 1020*time.Millisecond)
	assertNear(t, "tokens before the grants expire", probe(), 0, 0)
	sim.runUntil(sim.now + 510*time.Millisecond)
	assertNear(t, "tokens half a second later", probe(), 5, 0.01)
}
