package fleet_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/standin/engine"
	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

const (
	serveTimeout  = 10 * time.Second
	takeoverKills = 5
)

func TestMain(m *testing.M) {
	code := m.Run()
	testbed.Cleanup()
	os.Exit(code)
}

// session is one program as its caller sees it.
type session struct {
	t        *testing.T
	bed      *testbed.Bed
	id       string
	number   int
	expected []engine.Message
}

func newSession(t *testing.T, bed *testbed.Bed, vm *testbed.VM) *session {
	return &session{t: t, bed: bed, id: vm.CreateProgram(bed.Key)}
}

// until repeats a request through the VMs in turn until one answers it, or
// says that it may have run and must not be sent again.
func (s *session) until(vms []*testbed.VM, final bool, send func(vm *testbed.VM) testbed.Reply) testbed.Reply {
	s.t.Helper()
	var reply testbed.Reply
	deadline := time.Now().Add(serveTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		reply = send(vms[i%len(vms)])
		if reply.OK() || final && reply.Verdict == "may_have_run" && reply.Retry == 0 && reply.Code != "" {
			return reply
		}
		time.Sleep(max(reply.Retry, 20*time.Millisecond))
	}
	s.t.Fatalf("no answer within %s: %d %s %v", serveTimeout, reply.Status, reply.Body, reply.Err)
	return reply
}

// ask makes the next model call and checks that the engine saw the whole
// history of this program and of no other.
func (s *session) ask(vms ...*testbed.VM) {
	s.t.Helper()
	s.number++
	text := fmt.Sprintf("turn %d", s.number)
	reply := s.until(vms, false, func(vm *testbed.VM) testbed.Reply { return vm.Ask(s.bed.Key, s.id, s.number, text) })
	s.check(text, reply)
}

func (s *session) check(text string, reply testbed.Reply) {
	s.t.Helper()
	var completion struct {
		Choices []struct {
			Message engine.Message `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(reply.Body, &completion); err != nil || len(completion.Choices) != 1 {
		s.t.Fatalf("answer %s: not a completion", reply.Body)
	}
	answer := completion.Choices[0].Message
	s.expected = append(s.expected, engine.Message{Role: "user", Content: text})
	if want := "seen:" + engine.Digest(s.expected) + " "; !strings.HasPrefix(answer.Content, want) {
		s.t.Errorf("turn %d of %s: engine saw another history", s.number, s.id)
	}
	s.expected = append(s.expected, answer)
}

// holder returns the VM that holds the program.
func (s *session) holder() *testbed.VM {
	return s.bed.Holder(strings.Join(strings.Split(s.id, ".")[:3], "."))
}

// order makes the next service call, which must not run twice.
func (s *session) order(vms ...*testbed.VM) testbed.Reply {
	s.t.Helper()
	s.number++
	return s.until(vms, true, func(vm *testbed.VM) testbed.Reply { return vm.Order(s.bed.Key, s.id, s.number) })
}

func assertOnce(t *testing.T, bed *testbed.Bed) {
	t.Helper()
	for id, n := range bed.Executions() {
		if n != 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}

// others returns all VMs but some.
func others(bed *testbed.Bed, without ...*testbed.VM) []*testbed.VM {
	var list []*testbed.VM
next:
	for _, v := range bed.VMs {
		for _, w := range without {
			if v == w {
				continue next
			}
		}
		list = append(list, v)
	}
	return list
}

func newBed(t *testing.T, dcs, vms int) *testbed.Bed {
	return testbed.New(t, testbed.Options{DataCentres: dcs, VMs: vms, Engines: 1, Services: 1})
}

// A program's history is not lost when its holder is killed.
func TestHolderKilled(t *testing.T) {
	t.Run("between turns", func(t *testing.T) {
		bed := newBed(t, 1, 3)
		s := newSession(t, bed, bed.VMs[0])
		s.ask(bed.VMs...)
		s.order(bed.VMs...)
		bed.VMs[0].Kill()
		s.ask(others(bed, bed.VMs[0])...)
		s.order(others(bed, bed.VMs[0])...)
		assertOnce(t, bed)
	})
	t.Run("one after the other", func(t *testing.T) {
		bed := newBed(t, 1, 4)
		s := newSession(t, bed, bed.VMs[0])
		s.ask(bed.VMs...)
		for i := range 2 {
			bed.VMs[i].Kill()
			s.ask(bed.VMs[i+1:]...)
			s.order(bed.VMs[i+1:]...)
		}
		assertOnce(t, bed)
	})
	t.Run("and started again", func(t *testing.T) {
		bed := newBed(t, 1, 2)
		s := newSession(t, bed, bed.VMs[0])
		s.ask(bed.VMs...)
		for range 2 {
			for _, v := range bed.VMs {
				v.Kill()
				v.Start()
				s.ask(bed.VMs...)
				s.order(bed.VMs...)
			}
		}
		assertOnce(t, bed)
	})
}

// A turn that was under way when its holder died is answered by the next one,
// or its outcome is said to be unknown; it never runs twice.
func TestHolderKilledWithinTurn(t *testing.T) {
	bed := testbed.New(t, testbed.Options{
		DataCentres: 1, VMs: 3, Engines: 1, Services: 1,
		EngineDelay: 100 * time.Millisecond, ServiceTime: 500 * time.Millisecond,
	})
	s := newSession(t, bed, bed.VMs[0])
	s.ask(bed.VMs...)
	t.Run("model call", func(t *testing.T) {
		first := make(chan testbed.Reply)
		go func() { first <- bed.VMs[1].Ask(bed.Key, s.id, s.number+1, "turn 2") }()
		bed.Eventually(serveTimeout, "engine works", func() bool { return bed.Running() > 0 })
		bed.VMs[0].Kill()
		assertUnknown(t, <-first)
		s.ask(bed.VMs[1:]...)
	})
	t.Run("order", func(t *testing.T) {
		first := make(chan testbed.Reply)
		go func() { first <- bed.VMs[2].Order(bed.Key, s.id, s.number+1) }()
		holder := s.holder()
		if holder == nil {
			t.Fatal("no VM holds the program")
		}
		bed.Eventually(serveTimeout, "service works", func() bool { return bed.Begun() > 0 })
		holder.Kill()
		<-first
		holder.Start()
		reply := s.order(bed.VMs...)
		if !reply.OK() && reply.Verdict != "may_have_run" {
			t.Errorf("got verdict %s of an order under way", reply.Verdict)
		}
		s.ask(bed.VMs...)
		assertOnce(t, bed)
	})
}

func assertUnknown(t *testing.T, reply testbed.Reply) {
	t.Helper()
	if reply.OK() || reply.Verdict == "not_run" {
		t.Errorf("got status %d verdict %s, want an outcome that is not known", reply.Status, reply.Verdict)
	}
}

// A holder that was frozen past the takeover takes no step when it wakes.
func TestHolderFrozen(t *testing.T) {
	bed := newBed(t, 1, 3)
	s := newSession(t, bed, bed.VMs[0])
	s.ask(bed.VMs...)
	bed.VMs[0].Freeze()
	s.ask(bed.VMs[1:]...)
	s.order(bed.VMs[1:]...)
	bed.VMs[0].Thaw()
	s.ask(bed.VMs[0])
	s.order(bed.VMs[0])
	s.ask(bed.VMs...)
	assertOnce(t, bed)
}

// A VM that is cut off from all others and the platform takes no step on a
// program that was taken over, also once it is back.
func TestHolderCutOff(t *testing.T) {
	bed := newBed(t, 1, 3)
	s := newSession(t, bed, bed.VMs[0])
	s.ask(bed.VMs...)
	cut := func(f func(x, y string)) {
		f("dc1-vm1", "platform")
		f("dc1-vm1", "dc1-vm2")
		f("dc1-vm1", "dc1-vm3")
	}
	cut(bed.CutBoth)
	s.ask(bed.VMs[1:]...)
	refused := bed.VMs[0].Ask(bed.Key, s.id, s.number+1, "elsewhere")
	if refused.OK() || refused.Verdict != "not_run" {
		t.Errorf("got status %d verdict %s from the VM cut off", refused.Status, refused.Verdict)
	}
	s.order(bed.VMs[1:]...)
	cut(bed.HealBoth)
	s.ask(bed.VMs[0])
	s.order(bed.VMs...)
	assertOnce(t, bed)
}

// A data centre that is cut off serves the programs held there and new ones,
// also when a VM dies meanwhile, and none goes back when it is healed.
func TestDataCentreCutOff(t *testing.T) {
	bed := newBed(t, 2, 3)
	inside, outside := bed.VMs[:3], bed.VMs[3:]
	home, away := newSession(t, bed, inside[0]), newSession(t, bed, outside[0])
	home.ask(bed.VMs...)
	away.ask(bed.VMs...)
	bed.Isolate("dc1")
	home.ask(inside...)
	away.ask(outside...)
	t.Run("program held outside is refused inside", func(t *testing.T) {
		reply := inside[0].Ask(bed.Key, away.id, away.number+1, "turn")
		if reply.OK() || reply.Verdict != "not_run" && reply.Verdict != "may_have_run" {
			t.Errorf("got status %d verdict %s", reply.Status, reply.Verdict)
		}
	})
	newSession(t, bed, inside[1]).ask(inside...)
	bed.WaitGranted(inside...)
	inside[0].Kill()
	home.ask(inside[1:]...)
	home.order(inside[1:]...)
	newSession(t, bed, inside[1]).ask(inside[1:]...)
	newSession(t, bed, inside[2]).ask(inside[1:]...)
	bed.Rejoin("dc1")
	home.ask(outside...)
	home.order(bed.VMs[1:]...)
	away.ask(inside[1:]...)
	assertOnce(t, bed)
}

// With the platform away, a holder whose backup died goes on once that VM has
// started again at once.
func TestBackupRestartedWhileCutOff(t *testing.T) {
	bed := newBed(t, 1, 3)
	s := newSession(t, bed, bed.VMs[0])
	s.ask(bed.VMs...)
	bed.Isolate("dc1")
	bed.WaitGranted(bed.VMs...)
	bed.VMs[1].Kill()
	bed.VMs[1].Start()
	s.ask(bed.VMs[0], bed.VMs[2])
	s.order(bed.VMs[0], bed.VMs[2])
	assertOnce(t, bed)
}

// With the platform away, a holder whose backup is gone refuses its programs'
// calls, starts new programs, and goes on once that VM has started again.
func TestBackupGoneWhileCutOff(t *testing.T) {
	bed := newBed(t, 1, 3)
	s := newSession(t, bed, bed.VMs[0])
	s.ask(bed.VMs...)
	bed.Isolate("dc1")
	bed.WaitGranted(bed.VMs...)
	bed.VMs[1].Kill()
	bed.Eventually(serveTimeout, "call is refused with when to come back", func() bool {
		reply := bed.VMs[0].Order(bed.Key, s.id, s.number+1)
		return reply.Verdict == "not_run" && reply.Retry > 0
	})
	newSession(t, bed, bed.VMs[0]).ask(bed.VMs[0], bed.VMs[2])
	bed.VMs[1].Start()
	s.order(bed.VMs[0], bed.VMs[2])
	s.ask(bed.VMs[0], bed.VMs[2])
	bed.Rejoin("dc1")
	s.ask(bed.VMs...)
	assertOnce(t, bed)
}

// Every VM of a data centre can be replaced in turn without losing a program.
func TestReplacedInTurn(t *testing.T) {
	bed := newBed(t, 1, 3)
	s := newSession(t, bed, bed.VMs[0])
	s.ask(bed.VMs...)
	for _, v := range bed.VMs {
		v.Terminate()
		if err := v.Wait(); err != nil {
			t.Fatalf("VM %s: %v", v.Name, err)
		}
		v.Start()
		v.WaitReady()
		s.ask(bed.VMs...)
		s.order(bed.VMs...)
	}
	assertOnce(t, bed)
	if n := bed.Platform.Counts().Writes; n > 0 {
		t.Errorf("got %d platform writes for graceful replacements, want none", n)
	}
}

// The time from a VM's death to the next served turn of its programs.
func TestTakeoverTime(t *testing.T) {
	bed := newBed(t, 1, 4)
	var times []time.Duration
	for i := range takeoverKills {
		v := bed.VMs[i%len(bed.VMs)]
		rest := others(bed, v)
		s := newSession(t, bed, v)
		s.ask(bed.VMs...)
		v.Kill()
		start := time.Now()
		s.ask(rest...)
		times = append(times, time.Since(start))
		v.Start()
		v.WaitReady()
	}
	slices.Sort(times)
	t.Logf("takeover of %d kills: median %s, longest %s", len(times), times[len(times)/2], times[len(times)-1])
}
