package streams

import (
	"bytes"
	"context"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// recordWait bounds how long an event waits until another VM has it.
	recordWait = 50 * time.Millisecond
	// recordTimeout bounds one message with events.
	recordTimeout = 500 * time.Millisecond
	// maxRecordSends bounds the messages for one event: to a VM that lacks the events
	// before it, and to another one.
	maxRecordSends = 3
)

// recorder keeps the events of one turn at this VM and at two others, one of them in
// another data centre; it implements hawthornrail.TurnRecorder.
type recorder struct {
	controller *Controller
	ref        hawthornrail.TurnRef
	// id is the id of the request that runs the turn.
	id        string
	takeovers uint32
	keepers   []*turnKeeper

	mu     sync.Mutex
	events []*vmpb.TurnEvent
}

// turnKeeper is the VM that a recorder tells, in this VM's data centre or in another.
type turnKeeper struct {
	remote bool

	// mu serialises the messages to the VM.
	mu sync.Mutex
	vm hawthornrail.VM
	// acknowledged is the number of events that the VM has.
	acknowledged int
}

// Begin returns the recorder of a turn whose response begins.
func (c *Controller) Begin(ref hawthornrail.TurnRef) hawthornrail.TurnRecorder {
	return &recorder{controller: c, ref: ref, id: ref.ID(), keepers: newTurnKeepers()}
}

func newTurnKeepers() []*turnKeeper { return []*turnKeeper{{}, {remote: true}} }

// Record keeps further events and returns once another VM has them, or after a moment.
func (r *recorder) Record(ctx context.Context, events []hawthornrail.TurnEvent) {
	r.mu.Lock()
	for _, e := range events {
		// The data is the caller's.
		r.events = append(r.events, &vmpb.TurnEvent{Id: e.ID(), Data: bytes.Clone(e.Data())})
	}
	all := r.events
	r.mu.Unlock()
	c := r.controller
	c.receiveTurnEvents(r.message(0, all))
	acknowledged := make(chan bool, len(r.keepers))
	for _, k := range r.keepers {
		go func() { acknowledged <- r.send(context.WithoutCancel(ctx), k) }()
	}
	deadline := c.deps.Clock.After(recordWait)
	for range r.keepers {
		select {
		case ok := <-acknowledged:
			if ok {
				return
			}
		case <-deadline:
			return
		case <-ctx.Done():
			return
		}
	}
}

// send tells a keeper what it lacks, or another VM in its place, and reports whether one
// has all events.
func (r *recorder) send(ctx context.Context, k *turnKeeper) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for range maxRecordSends {
		events := r.since(k.acknowledged)
		if len(events) == 0 {
			return true
		}
		if k.vm.Name() == "" && !r.choose(k) {
			return false
		}
		whole, replied := r.sendTo(ctx, k.vm, k.acknowledged, events)
		switch {
		case whole:
			k.acknowledged += len(events)
		case replied && k.acknowledged > 0:
			// It has started again, or had no memory for the turn.
			k.acknowledged = 0
		case replied:
			return false
		default:
			k.vm, k.acknowledged = hawthornrail.VM{}, 0
		}
	}
	return false
}

// choose sets the VM of a keeper and reports whether there is one.
func (r *recorder) choose(k *turnKeeper) bool {
	order := r.controller.ranked(r.controller.keepers(k.remote), r.ref.ID())
	if len(order) == 0 {
		return false
	}
	k.vm, k.acknowledged = order[0], 0
	return true
}

// since returns the events after the first ones.
func (r *recorder) since(first int) []*vmpb.TurnEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[first:]
}

func (r *recorder) sendTo(ctx context.Context, vm hawthornrail.VM, first int, events []*vmpb.TurnEvent) (whole, replied bool) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	var reply vmpb.TurnEventsReply
	replied = r.controller.invoke(ctx, vm, &vmpb.Open{Kind: &vmpb.Open_TurnEvents{TurnEvents: r.message(first, events)}}, &reply)
	return reply.GetWhole(), replied
}

// message returns the message with the events after the first ones.
func (r *recorder) message(first int, events []*vmpb.TurnEvent) *vmpb.TurnEvents {
	return &vmpb.TurnEvents{Ref: refToWire(r.ref), Takeovers: r.takeovers, Run: []byte(r.id), First: uint32(first), Events: events}
}

// Resume returns the events of a turn up to the last one that its caller names, which takes
// its stream up, and the recorder of those that follow. ok is false if no VM that replies
// has them all.
func (c *Controller) Resume(ctx context.Context, ref hawthornrail.TurnRef, request, lastEvent string) (hawthornrail.TurnRecorder, []hawthornrail.TurnEvent, bool) {
	found := &turnReplies{}
	c.mu.Lock()
	found.takeovers, found.events, found.ok = c.turns.find(ref, lastEvent)
	c.mu.Unlock()
	newSearch(c, ref.ID(), func(ctx context.Context, vm hawthornrail.VM) func() bool {
		ask := &vmpb.TurnEventsAsk{Ref: refToWire(ref), LastEvent: lastEvent}
		var reply vmpb.TurnEventsAskReply
		if !c.invoke(ctx, vm, &vmpb.Open{Kind: &vmpb.Open_TurnEventsAsk{TurnEventsAsk: ask}}, &reply) {
			return nil
		}
		return func() bool { return found.add(vm, &reply) }
	}).run(ctx)
	if !found.ok {
		return nil, nil, false
	}
	var events []hawthornrail.TurnEvent
	for _, e := range found.events {
		events = append(events, hawthornrail.NewTurnEvent(e.GetId(), e.GetData()))
	}
	r := &recorder{controller: c, ref: ref, id: request, takeovers: found.takeovers + 1, events: found.events, keepers: newTurnKeepers()}
	r.replaceAt(ctx, found.vms)
	return r, events, true
}

// replaceAt tells VMs with an earlier run of the turn that its caller has left that run:
// they could return events that it does not have.
func (r *recorder) replaceAt(ctx context.Context, vms []hawthornrail.VM) {
	ctx = context.WithoutCancel(ctx)
	for _, v := range vms {
		go r.sendTo(ctx, v, 0, r.events)
	}
}

// turnReplies combines what VMs know of a turn's events; those of its last run count.
type turnReplies struct {
	takeovers uint32
	events    []*vmpb.TurnEvent
	ok        bool
	vms       []hawthornrail.VM
}

// add adds a reply. All are needed, since a VM may know an earlier run only.
func (t *turnReplies) add(vm hawthornrail.VM, reply *vmpb.TurnEventsAskReply) (enough bool) {
	if !reply.GetFound() {
		return false
	}
	t.vms = append(t.vms, vm)
	if !t.ok || reply.GetTakeovers() > t.takeovers {
		t.takeovers, t.events, t.ok = reply.GetTakeovers(), reply.GetEvents(), true
	}
	return false
}
