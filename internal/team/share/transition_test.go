package share_test

import (
	"fmt"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/team/share"
)

var now = time.Unix(1_000_000, 0)

func newVMs(count, centres int) []hawthornrail.VM {
	var vms []hawthornrail.VM
	for i := range count {
		vms = append(vms, hawthornrail.NewVM(fmt.Sprintf("vm%03d", i), fmt.Sprintf("dc%d", i%centres), "", false))
	}
	return vms
}

func newPlan(rate, burst float64, vms []hawthornrail.VM) share.Plan {
	return share.NewPlan(hawthornrail.NewDeployment("counter", "cordillera", 1).WithRate(rate, burst), vms)
}

func assertShare(t *testing.T, got share.Share, rate, burst float64) {
	t.Helper()
	if d := got.Rate() - rate; d > 1e-9 || d < -1e-9 {
		t.Errorf("rate %v, want %v", got.Rate(), rate)
	}
	if d := got.Burst() - burst; d > 1e-9 || d < -1e-9 {
		t.Errorf("burst %v, want %v", got.Burst(), burst)
	}
}

func TestPlan(t *testing.T) {
	t.Run("VMs of a small fleet hold equal shares", func(t *testing.T) {
		assertShare(t, newPlan(80, 160, newVMs(8, 3)).Share("vm007"), 10, 20)
	})
	t.Run("small burst has few holders", func(t *testing.T) {
		if n := len(newPlan(10, 4, newVMs(8, 3)).Holders()); n != 2 {
			t.Errorf("%d holders, want 2", n)
		}
	})
	t.Run("small rate that others borrow from has one holder", func(t *testing.T) {
		var vms []hawthornrail.VM
		for _, v := range newVMs(5, 5) {
			vms = append(vms, v.WithBorrowers())
		}
		if n := len(newPlan(10, 10, vms).Holders()); n != 1 {
			t.Errorf("%d holders, want 1", n)
		}
	})
	t.Run("holders of a large fleet are in different data centres", func(t *testing.T) {
		seen := make(map[string]bool)
		for _, v := range newPlan(80, 160, newVMs(340, 8)).Holders() {
			seen[v.DataCentre()] = true
		}
		if len(seen) != 3 {
			t.Errorf("holders in %d data centres, want 3", len(seen))
		}
	})
	t.Run("deployment without a rate has the zero plan", func(t *testing.T) {
		if newPlan(0, 0, newVMs(8, 3)).Fingerprint() != 0 {
			t.Error("plan is not zero")
		}
	})
}

// Guards against grants that outlive their reservation, which allows for a
// borrower's clock that is 1% slow, a holder's clock that is 1% fast and 5 ms
// between reading the clock and taking a token.
func TestGrantReserveTimeCoversClockDrift(t *testing.T) {
	for _, c := range []struct{ ttl, reserveTime time.Duration }{
		{share.GrantTTL, share.GrantReserveTime},
		{share.ImmediateGrantTTL, share.ImmediateGrantReserveTime},
		{share.PromiseTTL(0), share.PromiseReserveTime(0)},
		{share.PromiseTTL(800 * time.Millisecond), share.PromiseReserveTime(800 * time.Millisecond)},
	} {
		longest := (c.ttl + 5*time.Millisecond).Seconds() / 0.99 * 1.01
		if c.reserveTime.Seconds() < longest {
			t.Errorf("reserve time of %s, want at least %.4f s", c.reserveTime, longest)
		}
	}
}

// newCompleteTransition returns the transition of vm000 after all holders have
// confirmed the plan.
func newCompleteTransition(p share.Plan) *share.Transition {
	transition := share.NewTransition("vm000", now.Add(-time.Hour))
	transition.ApplyPlan(p, now)
	confirmPlan(transition, p, now, p.Holders()...)
	return transition
}

func confirmPlan(transition *share.Transition, p share.Plan, at time.Time, vms ...hawthornrail.VM) {
	for _, v := range vms {
		transition.HandleStateReply(transition.Epoch(), share.NewState(v.Name(), p.Fingerprint(), p.Share(v.Name()), true, nil), at)
	}
}

func TestTransition(t *testing.T) {
	four, three := newVMs(4, 2), newVMs(3, 2)
	t.Run("started VM waits for the other holders", func(t *testing.T) {
		transition := share.NewTransition("vm000", now)
		transition.ApplyPlan(newPlan(40, 80, four), now)
		assertShare(t, transition.Usable(now), 0, 0)
	})
	t.Run("started VM waits no longer than the start timeout", func(t *testing.T) {
		transition := share.NewTransition("vm000", now)
		transition.ApplyPlan(newPlan(40, 80, four), now)
		assertShare(t, transition.Usable(now.Add(10*time.Second)), 10, 20)
	})
	t.Run("moved share is not used before its holder releases it", func(t *testing.T) {
		transition := newCompleteTransition(newPlan(24, 48, four))
		transition.ApplyPlan(newPlan(24, 48, three), now)
		assertShare(t, transition.Usable(now), 6, 12)
		confirmPlan(transition, newPlan(24, 48, three), now, four...)
		assertShare(t, transition.Usable(now), 8, 16)
	})
	t.Run("share of a drained VM is used at once", func(t *testing.T) {
		transition := newCompleteTransition(newPlan(24, 48, four))
		transition.SetStopped("vm003", true, now)
		p := newPlan(24, 48, three)
		transition.ApplyPlan(p, now)
		confirmPlan(transition, p, now, three...)
		assertShare(t, transition.Usable(now), 8, 16)
	})
	t.Run("share of a dead VM stays reserved", func(t *testing.T) {
		transition := newCompleteTransition(newPlan(24, 48, four))
		p := newPlan(24, 48, three)
		transition.ApplyPlan(p, now)
		confirmPlan(transition, p, now, three...)
		assertShare(t, transition.Usable(now.Add(time.Minute)), 6, 12)
		assertShare(t, transition.Usable(now.Add(10*time.Minute)), 8, 16)
	})
	t.Run("reduction applies at once", func(t *testing.T) {
		transition := newCompleteTransition(newPlan(40, 80, four))
		transition.ApplyPlan(newPlan(20, 40, four), now)
		assertShare(t, transition.Usable(now), 5, 10)
	})
	t.Run("confirmed VMs compensate for one that has not confirmed a reduction", func(t *testing.T) {
		transition := newCompleteTransition(newPlan(40, 80, four))
		p := newPlan(20, 40, four)
		transition.ApplyPlan(p, now)
		confirmPlan(transition, p, now, four[1], four[2])
		// The three confirmed VMs divide what remains of the new rate of 20
		// after the 10 that the fourth may still use.
		assertShare(t, transition.Usable(now.Add(5*time.Second)), 10.0/3, 20.0/3)
	})
	t.Run("plan is settled once earlier grants have expired", func(t *testing.T) {
		transition := newCompleteTransition(newPlan(40, 80, four))
		transition.ApplyPlan(newPlan(20, 40, four), now)
		if transition.State(now.Add(share.GrantReserveTime - 1)).Settled() {
			t.Error("settled before grants expire")
		}
		if !transition.State(now.Add(share.GrantReserveTime)).Settled() {
			t.Error("not settled after grants have expired")
		}
	})
	t.Run("state that is not a reply confirms nothing", func(t *testing.T) {
		p := newPlan(24, 48, three)
		transition := newCompleteTransition(newPlan(24, 48, four))
		transition.ApplyPlan(p, now)
		for _, v := range four[1:] {
			transition.HandleState(share.NewState(v.Name(), p.Fingerprint(), p.Share(v.Name()), true, nil), now)
		}
		assertShare(t, transition.Usable(now), 6, 12)
	})
	t.Run("reply of an earlier epoch confirms nothing", func(t *testing.T) {
		p := newPlan(24, 48, three)
		transition := newCompleteTransition(newPlan(24, 48, four))
		transition.ApplyPlan(p, now)
		transition.HandleStateReply(transition.Epoch()-1, share.NewState("vm003", p.Fingerprint(), share.Share{}, true, nil), now)
		assertShare(t, transition.Usable(now), 6, 12)
	})
}

// BenchmarkPlan divides one deployment's rate at full size.
func BenchmarkPlan(b *testing.B) {
	vms := newVMs(340, 8)
	d := hawthornrail.NewDeployment("counter", "cordillera", 1).WithRate(2, 10)
	b.ReportAllocs()
	for b.Loop() {
		share.NewPlan(d, vms)
	}
}

// A started VM that holds no share does not wait for other VMs.
func TestStartWaitWithoutShare(t *testing.T) {
	vms := append(newVMs(3, 3), hawthornrail.NewVM("entry", "dc0", "", false).WithoutRates())
	p := newPlan(60, 60, vms)
	t.Run("holder waits", func(t *testing.T) {
		transition := share.NewTransition("vm000", now)
		transition.ApplyPlan(p, now)
		if transition.StartWait(now) <= 0 {
			t.Error("a started holder does not wait")
		}
	})
	t.Run("entry VM does not wait", func(t *testing.T) {
		transition := share.NewTransition("entry", now)
		transition.ApplyPlan(p, now)
		if wait := transition.StartWait(now); wait > 0 {
			t.Errorf("waits %v", wait)
		}
	})
}
