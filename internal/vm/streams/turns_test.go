package streams

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

var turnRef = hawthornrail.NewTurnRef("team", "turn")

// record records events with the given ids, whose data names the run.
func record(t *testing.T, r hawthornrail.TurnRecorder, run string, ids ...string) {
	t.Helper()
	for _, id := range ids {
		r.Record(t.Context(), []hawthornrail.TurnEvent{hawthornrail.NewTurnEvent(id, []byte(run+id+" "))})
	}
}

// resume takes up the turn at a VM and checks which events it has; none is expected if want
// is empty.
func (n *network) resume(t *testing.T, vm int, request, lastEvent, want string) hawthornrail.TurnRecorder {
	t.Helper()
	recorder, events, ok := n.vms[vm].Resume(t.Context(), turnRef, request, lastEvent)
	got := strings.Builder{}
	for _, e := range events {
		got.Write(e.Data())
	}
	if ok != (want != "") || got.String() != want {
		t.Errorf("VM %d has %q (%t) up to event %s, want %q", vm, got.String(), ok, lastEvent, want)
	}
	return recorder
}

// Guards against review case 12: a turn is lost because the VM that passed on its first
// events is gone, or because its caller came back to another one.
func TestTurnTakenUpAtAnotherVM(t *testing.T) {
	for _, size := range []int{2, 3, 9, 70} {
		for _, down := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d VMs, the first one down %t", size, down), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork(t, size, "v1")
					record(t, n.vms[0].Begin(turnRef), "a", "1", "2", "3")
					n.setDown(0, down)
					for vm := 1; vm < min(size, 4); vm++ {
						n.resume(t, vm, "again", "2", "a1 a2 ")
					}
					n.resume(t, 1, "again", "7", "")
					n.resume(t, 1, "again", "", "")
					_, _, ok := n.vms[1].Resume(t.Context(), hawthornrail.NewTurnRef("other", "turn"), "again", "2")
					if ok {
						t.Error("another team has the events")
					}
				})
			})
		}
	}
}

// Guards against a turn that joins events of two runs, because its caller took the stream up
// several times and some VMs know an earlier run only.
func TestTurnTakenUpTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 9, "v1")
		record(t, n.vms[0].Begin(turnRef), "a", "1", "2", "3", "4")
		n.setDown(0, true)
		record(t, n.resume(t, 4, "second", "2", "a1 a2 "), "b", "3", "4")
		time.Sleep(recordTimeout)
		n.setDown(4, true)
		last := n.resume(t, 8, "third", "4", "a1 a2 b3 b4 ")
		record(t, last, "c", "5")
		n.resume(t, 2, "fourth", "5", "a1 a2 b3 b4 c5 ")
	})
	t.Run("by two requests at once", func(t *testing.T) {
		turns := newTurnEvents()
		for _, request := range []string{"second", "third"} {
			m := &vmpb.TurnEvents{Ref: refToWire(turnRef), Takeovers: 1, Run: []byte(request), Events: []*vmpb.TurnEvent{{Id: "1"}}}
			turns.add(m, time.Now())
		}
		if _, _, ok := turns.find(turnRef, "1"); ok {
			t.Error("one of two runs at once is found")
		}
	})
}

// Guards against a turn with a gap: the VMs that were told have started again.
func TestTurnOfVMsThatStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 3, "v1")
		r := n.vms[0].Begin(turnRef)
		record(t, r, "a", "1", "2")
		n.start(t, 1, link{network: n})
		n.start(t, 2, link{network: n})
		n.setDown(0, true)
		n.resume(t, 1, "again", "2", "")
		n.setDown(0, false)
		record(t, r, "a", "3")
		n.setDown(0, true)
		n.resume(t, 1, "again", "3", "a1 a2 a3 ")
	})
}

// Guards against a response that waits for VMs which do not reply.
func TestRecordingDoesNotHoldEventsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 3, "v1")
		n.silent = true
		n.setDown(1, true)
		n.setDown(2, true)
		start := time.Now()
		record(t, n.vms[0].Begin(turnRef), "a", "1")
		if waited := time.Since(start); waited > recordWait {
			t.Errorf("the event waited for %v, want %v at most", waited, recordWait)
		}
		time.Sleep(maxRecordSends * recordTimeout)
	})
}

// Guards against events that are kept for ever, or fill the memory of a VM.
func TestTurnEventsAreBounded(t *testing.T) {
	turns := newTurnEvents()
	now := time.Unix(1_800_000_000, 0)
	add := func(turn int, bytes int, now time.Time) bool {
		events := []*vmpb.TurnEvent{{Id: "1", Data: make([]byte, bytes)}}
		return turns.add(&vmpb.TurnEvents{Ref: &vmpb.TurnRef{Team: "team", Id: fmt.Append(nil, turn)}, Events: events}, now)
	}
	kept := 0
	for turn := range 100 {
		if add(turn, maxTurnEventBytes/10, now) {
			kept++
		}
	}
	if kept != 9 || turns.bytes > maxTurnEventBytes {
		t.Errorf("%d turns with %d bytes are kept", kept, turns.bytes)
	}
	later := now.Add(turnRetention + expiryInterval)
	if !add(1000, 1, later) || len(turns.turns) != 1 {
		t.Errorf("%d turns are kept later", len(turns.turns))
	}
}
