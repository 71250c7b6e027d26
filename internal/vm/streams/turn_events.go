package streams

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// turnRetention is how long the events of a turn are kept after the last one.
	turnRetention = time.Minute
	// maxTurnEventBytes bounds the events of all turns that a VM keeps.
	maxTurnEventBytes = 4 << 20
	// eventOverhead is the memory of an event in bytes besides its id and data.
	eventOverhead = 96
	// expiryInterval is the interval at which events of old turns are removed.
	expiryInterval = 5 * time.Second
)

// turnEvents holds the events of turns under way, as far as this VM was told. Callers
// serialise its methods.
type turnEvents struct {
	turns     map[hawthornrail.TurnRef]*turnRun
	bytes     int
	expiredAt time.Time
}

// turnRun is the events of one turn that its caller may have received.
type turnRun struct {
	// takeovers counts how often the caller has taken the stream up, and id is that of the
	// request that runs the turn since.
	takeovers uint32
	id        string
	// ambiguous is set once two requests have taken the stream up at the same event: it is
	// not known which one the caller goes on with.
	ambiguous bool
	events    []*vmpb.TurnEvent
	bytes     int
	updatedAt time.Time
}

func newTurnEvents() *turnEvents {
	return &turnEvents{turns: make(map[hawthornrail.TurnRef]*turnRun)}
}

// add adds the events of a message, and reports whether all events up to these are held.
// Events of an earlier run of the turn, which its caller has left, are not added.
func (t *turnEvents) add(m *vmpb.TurnEvents, now time.Time) bool {
	t.expire(now)
	ref, first, events := refFromWire(m.GetRef()), int(m.GetFirst()), m.GetEvents()
	run, ok := t.turns[ref]
	switch {
	case ok && m.GetTakeovers() < run.takeovers:
		return false
	case !ok || m.GetTakeovers() > run.takeovers:
		if first > 0 {
			return false
		}
		t.remove(ref)
		run = &turnRun{takeovers: m.GetTakeovers(), id: string(m.GetRun())}
		t.turns[ref] = run
	case string(m.GetRun()) != run.id:
		run.ambiguous = true
		return false
	case first > len(run.events):
		return false
	}
	run.updatedAt = now
	// What is held already may arrive once more.
	if held := len(run.events) - first; held < len(events) {
		run.events = append(run.events, events[held:]...)
		added := sizeOf(events[held:])
		run.bytes += added
		t.bytes += added
	}
	if t.bytes > maxTurnEventBytes {
		t.remove(ref)
		return false
	}
	return true
}

// find returns the events of a turn up to one of them.
func (t *turnEvents) find(ref hawthornrail.TurnRef, lastEvent string) (takeovers uint32, events []*vmpb.TurnEvent, ok bool) {
	run, ok := t.turns[ref]
	if !ok || run.ambiguous || lastEvent == "" {
		return 0, nil, false
	}
	for n, e := range run.events {
		if e.GetId() == lastEvent {
			return run.takeovers, run.events[: n+1 : n+1], true
		}
	}
	return 0, nil, false
}

func (t *turnEvents) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expiryInterval {
		return
	}
	t.expiredAt = now
	for ref, run := range t.turns {
		if now.Sub(run.updatedAt) > turnRetention {
			t.remove(ref)
		}
	}
}

func (t *turnEvents) remove(ref hawthornrail.TurnRef) {
	if run, ok := t.turns[ref]; ok {
		t.bytes -= run.bytes
		delete(t.turns, ref)
	}
}

func sizeOf(events []*vmpb.TurnEvent) int {
	size := 0
	for _, e := range events {
		size += len(e.GetId()) + len(e.GetData()) + eventOverhead
	}
	return size
}

func (c *Controller) receiveTurnEvents(m *vmpb.TurnEvents) *vmpb.TurnEventsReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &vmpb.TurnEventsReply{Whole: c.turns.add(m, c.deps.Clock.Now())}
}

func (c *Controller) receiveTurnEventsAsk(m *vmpb.TurnEventsAsk) *vmpb.TurnEventsAskReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	takeovers, events, ok := c.turns.find(refFromWire(m.GetRef()), m.GetLastEvent())
	return &vmpb.TurnEventsAskReply{Found: ok, Takeovers: takeovers, Events: events}
}

func refToWire(r hawthornrail.TurnRef) *vmpb.TurnRef {
	return &vmpb.TurnRef{Team: r.Team(), Id: []byte(r.ID())}
}

func refFromWire(m *vmpb.TurnRef) hawthornrail.TurnRef {
	return hawthornrail.NewTurnRef(m.GetTeam(), string(m.GetId()))
}
