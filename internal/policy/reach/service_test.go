package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/reach"
)

var start = time.Unix(1_000, 0)

func at(after time.Duration) time.Time { return start.Add(after) }

func assertPath(t *testing.T, s *reach.Service, want reach.Path) {
	t.Helper()
	if s.Path() != want {
		t.Errorf("path %d, want %d", s.Path(), want)
	}
}

// cutOff returns a service that was found to be reached through other VMs at a time.
func cutOff(t *testing.T, s *reach.Service, now time.Time) {
	t.Helper()
	s.Lost("a", now)
	s.Lost("b", now)
	if !s.BeginCheck(now) {
		t.Fatal("no check is due")
	}
	s.EndCheck(reach.Check{Helpers: 1}, now)
	assertPath(t, s, reach.Indirect)
}

// Guards against a day on which single endpoints are silent for a second: no check
// begins, and nothing is paid, while others are heard.
func TestSilentEndpointStartsNoCheck(t *testing.T) {
	s := reach.NewService()
	for now := time.Duration(0); now < time.Minute; now += 20 * time.Millisecond {
		if now%time.Second < 900*time.Millisecond {
			s.Lost("silent", at(now))
		}
		if s.BeginCheck(at(now)) {
			t.Fatalf("a check begins at %v", now)
		}
		if now%(100*time.Millisecond) == 0 {
			s.Heard()
		}
	}
}

// Guards against a cut that is noticed only when callers have left.
func TestLossIsChecked(t *testing.T) {
	t.Run("two endpoints at once", func(t *testing.T) {
		s := reach.NewService()
		s.Lost("a", at(0))
		if s.BeginCheck(at(0)) {
			t.Error("a single loss is checked at once")
		}
		s.Lost("b", at(time.Millisecond))
		if !s.BeginCheck(at(time.Millisecond)) {
			t.Error("two losses are not checked")
		}
	})
	t.Run("another service is out of reach", func(t *testing.T) {
		s := reach.NewService()
		if !s.Suspect(at(0)) || s.Suspect(at(0)) {
			t.Error("not checked once")
		}
		s.Heard()
		assertPath(t, s, reach.Direct)
	})
	t.Run("one endpoint of a VM with few requests", func(t *testing.T) {
		s := reach.NewService()
		s.Lost("a", at(0))
		if !s.BeginCheck(at(200 * time.Millisecond)) {
			t.Error("a loss is not checked although nothing else is heard")
		}
	})
}

// Guards against requests that are refused, or sent through other VMs, while only the VM's link
// is slow: without a reply of any VM they go directly, and checks pause.
func TestCheckWithoutRepliesKeepsDirectPath(t *testing.T) {
	s := reach.NewService()
	s.Lost("a", at(0))
	s.Lost("b", at(0))
	s.BeginCheck(at(0))
	s.EndCheck(reach.Check{}, at(100*time.Millisecond))
	assertPath(t, s, reach.Direct)
	s.Lost("a", at(200*time.Millisecond))
	s.Lost("b", at(200*time.Millisecond))
	if s.BeginCheck(at(300 * time.Millisecond)) {
		t.Error("the next check begins at once")
	}
	if !s.BeginCheck(at(1200 * time.Millisecond)) {
		t.Error("no further check")
	}
}

// Guards against requests that go from VM to VM for a service that is down
// everywhere.
func TestDeadServiceIsNotReachedIndirectly(t *testing.T) {
	s := reach.NewService()
	s.Lost("a", at(0))
	s.Lost("b", at(0))
	s.BeginCheck(at(0))
	s.EndCheck(reach.Check{Denials: 3}, at(0))
	assertPath(t, s, reach.None)
	s.SetHelpers(true)
	assertPath(t, s, reach.Indirect)
	s.SetHelpers(false)
	assertPath(t, s, reach.None)
}

// Guards against a link that goes up and down: requests return to it only after ever
// more probes in a row, so that the path changes seldom.
func TestFlappingLink(t *testing.T) {
	s := reach.NewService()
	returns := 0
	const upTime, period = 300 * time.Millisecond, 600 * time.Millisecond
	up := func(now time.Duration) bool { return now%period < upTime }
	for now := time.Duration(0); now < time.Minute; now += 5 * time.Millisecond {
		if s.Path() == reach.Direct && !up(now) {
			cutOff(t, s, at(now))
		}
		if s.Path() == reach.Indirect && s.UntilProbe(at(now)) == 0 && s.Probed(up(now), at(now)) {
			returns++
		}
	}
	if returns > 5 {
		t.Errorf("requests returned to the direct path %d times in a minute", returns)
	}
}

// Guards against a VM that stays on the indirect path after its link is back.
func TestReturnAfterCut(t *testing.T) {
	s := reach.NewService()
	cutOff(t, s, at(0))
	now := time.Duration(0)
	for ; now < 10*time.Second; now += time.Millisecond {
		if s.UntilProbe(at(now)) == 0 {
			s.Probed(false, at(now))
		}
	}
	back := now
	for ; s.Path() != reach.Direct; now += time.Millisecond {
		if s.UntilProbe(at(now)) == 0 {
			s.Probed(true, at(now))
		}
	}
	if now-back > 1100*time.Millisecond {
		t.Errorf("back on the direct path after %v", now-back)
	}
}

// Guards against the connection of an old request that makes a VM which is cut off
// send directly again.
func TestOnlyProbesEndTheIndirectPath(t *testing.T) {
	s := reach.NewService()
	cutOff(t, s, at(0))
	s.Heard()
	assertPath(t, s, reach.Indirect)
}

func vms(count int, dataCentre string) []hawthornrail.VM {
	var list []hawthornrail.VM
	for n := range count {
		list = append(list, hawthornrail.NewVM(fmt.Sprintf("%s-%d", dataCentre, n), dataCentre, "", false))
	}
	return list
}

func TestHelpers(t *testing.T) {
	h := reach.NewHelpers("a")
	h.Set(append(vms(2, "a"), vms(2, "b")...))
	t.Run("own data centre first", func(t *testing.T) {
		for n := range 50 {
			if v, ok := h.Choose(fmt.Sprint(n), nil); !ok || v.DataCentre() != "a" {
				t.Errorf("VM %s", v.Name())
			}
		}
	})
	t.Run("same VM for a program", func(t *testing.T) {
		first, _ := h.Choose("program", nil)
		if again, _ := h.Choose("program", nil); again.Name() != first.Name() {
			t.Errorf("VMs %s and %s", first.Name(), again.Name())
		}
	})
	t.Run("another one after a refusal", func(t *testing.T) {
		v, ok := h.Choose("program", []string{"a-0", "a-1"})
		if !ok || v.DataCentre() != "b" {
			t.Errorf("VM %s, %v", v.Name(), ok)
		}
	})
	t.Run("none left", func(t *testing.T) {
		if v, ok := h.Choose("program", []string{"a-0", "a-1", "b-0", "b-1"}); ok {
			t.Errorf("VM %s", v.Name())
		}
	})
}

// Guards against a fleet of which all VMs are asked at once, or only those of the data
// centre that is cut off.
func TestSample(t *testing.T) {
	all := append(vms(40, "a"), vms(40, "b")...)
	sample := reach.Sample(all, "a", 6, rand.Shuffle)
	local := 0
	for _, v := range sample {
		if v.DataCentre() == "a" {
			local++
		}
	}
	if len(sample) != 6 || local != 3 {
		t.Errorf("%d VMs, %d of the own data centre", len(sample), local)
	}
	if sample := reach.Sample(vms(1, "b"), "a", 6, rand.Shuffle); len(sample) != 1 {
		t.Errorf("%d VMs of one", len(sample))
	}
}
