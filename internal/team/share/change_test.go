package share_test

import (
	"fmt"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/team/share"
)

var now = time.Unix(1_000_000, 0)

func vms(count, centres int) []hawthornrail.VM {
	var list []hawthornrail.VM
	for i := range count {
		list = append(list, hawthornrail.NewVM(fmt.Sprintf("vm%03d", i), fmt.Sprintf("dc%d", i%centres), "", false))
	}
	return list
}

func plan(rate, burst float64, list []hawthornrail.VM) share.Plan {
	return share.NewPlan(hawthornrail.NewDeployment("counter", "cordillera", 1).WithRate(rate, burst), list)
}

func assertPart(t *testing.T, got share.Part, rate, burst float64) {
	t.Helper()
	if d := got.Rate() - rate; d > 1e-9 || d < -1e-9 {
		t.Errorf("rate %v, want %v", got.Rate(), rate)
	}
	if d := got.Burst() - burst; d > 1e-9 || d < -1e-9 {
		t.Errorf("burst %v, want %v", got.Burst(), burst)
	}
}

func TestPlan(t *testing.T) {
	t.Run("small fleet holds equal parts", func(t *testing.T) {
		assertPart(t, plan(80, 160, vms(8, 3)).Part("vm007"), 10, 20)
	})
	t.Run("small burst has few holders", func(t *testing.T) {
		if n := len(plan(10, 4, vms(8, 3)).Holders()); n != 2 {
			t.Errorf("%d holders, want 2", n)
		}
	})
	t.Run("small rate that others borrow from has one holder", func(t *testing.T) {
		var list []hawthornrail.VM
		for _, v := range vms(5, 5) {
			list = append(list, v.HoldingForOthers())
		}
		if n := len(plan(10, 10, list).Holders()); n != 1 {
			t.Errorf("%d holders, want 1", n)
		}
	})
	t.Run("holders of a large fleet stand in different data centres", func(t *testing.T) {
		seen := make(map[string]bool)
		for _, v := range plan(80, 160, vms(340, 8)).Holders() {
			seen[v.DataCentre()] = true
		}
		if len(seen) != 3 {
			t.Errorf("holders in %d data centres, want 3", len(seen))
		}
	})
	t.Run("deployment without a rate has the zero plan", func(t *testing.T) {
		if plan(0, 0, vms(8, 3)).Fingerprint() != 0 {
			t.Error("plan is not zero")
		}
	})
}

// The hold covers a borrower whose clock is 1% slow, a holder whose clock is 1%
// fast and 5 ms between reading the clock and taking a token.
func TestHoldCoversClocks(t *testing.T) {
	for _, c := range []struct{ life, hold time.Duration }{
		{share.GrantLife, share.GrantHold},
		{share.ImmediateLife, share.ImmediateHold},
	} {
		longest := (c.life + 5*time.Millisecond).Seconds() / 0.99 * 1.01
		if c.hold.Seconds() < longest {
			t.Errorf("hold of %s, want at least %.4f s", c.hold, longest)
		}
	}
}

// complete returns the change of vm000 whose holders have all confirmed.
func complete(p share.Plan) *share.Change {
	c := share.NewChange("vm000", now.Add(-time.Hour))
	c.Follow(p, now)
	confirm(c, p, now, p.Holders()...)
	return c
}

func confirm(c *share.Change, p share.Plan, at time.Time, list ...hawthornrail.VM) {
	for _, v := range list {
		c.Answered(c.Epoch(), share.NewState(v.Name(), p.Fingerprint(), p.Part(v.Name()), true, nil), at)
	}
}

func TestChange(t *testing.T) {
	four, three := vms(4, 2), vms(3, 2)
	t.Run("started VM waits for the other holders", func(t *testing.T) {
		c := share.NewChange("vm000", now)
		c.Follow(plan(40, 80, four), now)
		assertPart(t, c.Usable(now), 0, 0)
	})
	t.Run("started VM waits no longer than the target", func(t *testing.T) {
		c := share.NewChange("vm000", now)
		c.Follow(plan(40, 80, four), now)
		assertPart(t, c.Usable(now.Add(10*time.Second)), 10, 20)
	})
	t.Run("moved part is not used before it is given up", func(t *testing.T) {
		c := complete(plan(24, 48, four))
		c.Follow(plan(24, 48, three), now)
		assertPart(t, c.Usable(now), 6, 12)
		confirm(c, plan(24, 48, three), now, four...)
		assertPart(t, c.Usable(now), 8, 16)
	})
	t.Run("part of a VM that has left is used at once", func(t *testing.T) {
		c := complete(plan(24, 48, four))
		c.Gone("vm003", true, now)
		p := plan(24, 48, three)
		c.Follow(p, now)
		confirm(c, p, now, three...)
		assertPart(t, c.Usable(now), 8, 16)
	})
	t.Run("part of a VM that is dead stays reserved", func(t *testing.T) {
		c := complete(plan(24, 48, four))
		p := plan(24, 48, three)
		c.Follow(p, now)
		confirm(c, p, now, three...)
		assertPart(t, c.Usable(now.Add(time.Minute)), 6, 12)
		assertPart(t, c.Usable(now.Add(10*time.Minute)), 8, 16)
	})
	t.Run("cut holds at once", func(t *testing.T) {
		c := complete(plan(40, 80, four))
		c.Follow(plan(20, 40, four), now)
		assertPart(t, c.Usable(now), 5, 10)
	})
	t.Run("cut makes room for a VM that has not confirmed it", func(t *testing.T) {
		c := complete(plan(40, 80, four))
		p := plan(20, 40, four)
		c.Follow(p, now)
		confirm(c, p, now, four[1], four[2])
		// Three VMs share the 20 but for the 10 that the fourth may use.
		assertPart(t, c.Usable(now.Add(5*time.Second)), 10.0/3, 20.0/3)
	})
	t.Run("plan is confirmed once earlier grants have ended", func(t *testing.T) {
		c := complete(plan(40, 80, four))
		c.Follow(plan(20, 40, four), now)
		if c.State(now.Add(share.GrantHold - 1)).Settled() {
			t.Error("settled while grants may live")
		}
		if !c.State(now.Add(share.GrantHold)).Settled() {
			t.Error("not settled after grants have ended")
		}
	})
	t.Run("state that may be late confirms nothing", func(t *testing.T) {
		p := plan(24, 48, three)
		c := complete(plan(24, 48, four))
		c.Follow(p, now)
		for _, v := range four[1:] {
			c.Told(share.NewState(v.Name(), p.Fingerprint(), p.Part(v.Name()), true, nil), now)
		}
		assertPart(t, c.Usable(now), 6, 12)
	})
	t.Run("answer of an earlier epoch confirms nothing", func(t *testing.T) {
		p := plan(24, 48, three)
		c := complete(plan(24, 48, four))
		c.Follow(p, now)
		c.Answered(c.Epoch()-1, share.NewState("vm003", p.Fingerprint(), share.Part{}, true, nil), now)
		assertPart(t, c.Usable(now), 6, 12)
	})
}

// BenchmarkPlan divides one deployment's rate at the full size.
func BenchmarkPlan(b *testing.B) {
	list := vms(340, 8)
	d := hawthornrail.NewDeployment("counter", "cordillera", 1).WithRate(2, 10)
	b.ReportAllocs()
	for b.Loop() {
		share.NewPlan(d, list)
	}
}

// A VM that holds no part has nothing to wait for.
func TestStartWaitWithoutPart(t *testing.T) {
	list := append(vms(3, 3), hawthornrail.NewVM("entry", "dc0", "", false).WithoutRates())
	p := plan(60, 60, list)
	t.Run("holder waits", func(t *testing.T) {
		c := share.NewChange("vm000", now)
		c.Follow(p, now)
		if c.StartWait(now) <= 0 {
			t.Error("a started holder does not wait")
		}
	})
	t.Run("entry VM does not wait", func(t *testing.T) {
		c := share.NewChange("entry", now)
		c.Follow(p, now)
		if wait := c.StartWait(now); wait > 0 {
			t.Errorf("waits %v", wait)
		}
	})
}
