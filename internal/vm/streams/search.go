package streams

import (
	"context"
	"errors"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// findTimeout bounds how long a caller that takes up a stream waits for the
	// VMs that may know where it began.
	findTimeout = 250 * time.Millisecond
	// lateReply is how long a reply is waited for before the next VM of the data centre
	// is asked too.
	lateReply = 60 * time.Millisecond
	// keepersOfDataCentre is how many VMs of each data centre may keep the origin
	// of a stream: the first one, or the second if the stream began at the first.
	keepersOfDataCentre = 2
)

// search asks VMs for the origin of a stream. In place of one that does not reply it asks the
// next one of the same data centre, as the VM where the stream began has told that one.
type search struct {
	controller *Controller
	ask        *vmpb.StreamAsk
	// next are the VMs that were not asked, by their data centres, and waiting the data
	// centres of those that have not replied, by their names.
	next    map[string][]hawthornrail.VM
	waiting map[string]string
	replies chan askReply
}

// askReply is the reply of a VM, nil if there was none.
type askReply struct {
	vm    string
	reply *vmpb.StreamReply
}

func newSearch(c *Controller, ask *vmpb.StreamAsk) *search {
	vms := c.ranked(c.otherVMs(), ask.GetStream())
	s := &search{
		controller: c, ask: ask, next: make(map[string][]hawthornrail.VM), waiting: make(map[string]string),
		replies: make(chan askReply, len(vms)),
	}
	for _, v := range vms {
		s.next[v.DataCentre()] = append(s.next[v.DataCentre()], v)
	}
	return s
}

// run returns the origin, or what the VMs know of the versions of the service.
func (s *search) run(ctx context.Context, own *vmpb.StreamReply) (hawthornrail.StreamOrigin, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for dataCentre := range s.next {
		s.askNext(ctx, dataCentre, keepersOfDataCentre)
	}
	several, sole := own.GetSeveral(), own.GetSole()
	for late := s.controller.deps.Clock.After(lateReply); len(s.waiting) > 0; {
		select {
		case <-late:
			late = nil
			s.replaceLate(ctx)
		case r := <-s.replies:
			dataCentre := s.waiting[r.vm]
			delete(s.waiting, r.vm)
			if r.reply == nil {
				s.askNext(ctx, dataCentre, 1)
				continue
			}
			if r.reply.GetOrigin() != nil {
				return originFromWire(r.reply.GetOrigin()), true
			}
			several = several || r.reply.GetSeveral()
			if r.reply.GetSole() != nil {
				sole = r.reply.GetSole()
			}
		}
	}
	if several || sole == nil {
		return hawthornrail.StreamOrigin{}, false
	}
	return originFromWire(sole), true
}

// replaceLate asks another VM for each that has not replied.
func (s *search) replaceLate(ctx context.Context) {
	late := make(map[string]int)
	for _, dataCentre := range s.waiting {
		late[dataCentre]++
	}
	for dataCentre, count := range late {
		s.askNext(ctx, dataCentre, count)
	}
}

// askNext asks the next VMs of a data centre, if there are any and there is time.
func (s *search) askNext(ctx context.Context, dataCentre string, count int) {
	vms := s.next[dataCentre]
	if ctx.Err() != nil {
		return
	}
	count = min(count, len(vms))
	s.next[dataCentre] = vms[count:]
	for _, v := range vms[:count] {
		s.waiting[v.Name()] = dataCentre
		go func() { s.replies <- askReply{vm: v.Name(), reply: s.askVM(ctx, v)} }()
	}
}

func (s *search) askVM(ctx context.Context, vm hawthornrail.VM) *vmpb.StreamReply {
	var reply vmpb.StreamReply
	open := &vmpb.Open{Kind: &vmpb.Open_StreamAsk{StreamAsk: &vmpb.StreamAsk{
		Stream: s.ask.GetStream(), Service: s.ask.GetService(), WindowMs: s.ask.GetWindowMs(),
	}}}
	_, err := s.controller.deps.Invoker.Invoke(ctx, vm.Address(), open, &reply)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		// Another VM was faster, or the caller has left.
		return nil
	}
	s.controller.absences.record(vm.Name(), err == nil, s.controller.deps.Clock.Now())
	if err != nil {
		return nil
	}
	return &reply
}
