package streams

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// findTimeout bounds how long a caller that takes up a stream waits for the
	// VMs that may know where it began.
	findTimeout = 250 * time.Millisecond
	// lateReply is how long a reply is waited for before the next VM of the data centre
	// is asked too.
	lateReply = 60 * time.Millisecond
	// keepersOfDataCentre is how many VMs of each data centre may know a stream: the
	// first one, or the second if the stream began at the first.
	keepersOfDataCentre = 2
)

// search asks VMs about a stream. In place of one that does not reply it asks the
// next one of the same data centre, as the VM where the stream began has told that one.
type search struct {
	controller *Controller
	ask        askVM
	// next are the VMs that were not asked, by their data centres, and waiting the data
	// centres of those that have not replied, by their names.
	next    map[string][]hawthornrail.VM
	waiting map[string]string
	replies chan askReply
}

// askVM asks a VM and returns what takes its reply, or nil if there is none. take reports
// whether no further reply is needed.
type askVM func(ctx context.Context, vm hawthornrail.VM) (take func() (enough bool))

// askReply is the reply of a VM.
type askReply struct {
	vm   string
	take func() (enough bool)
}

func newSearch(c *Controller, stream string, ask askVM) *search {
	vms := c.ranked(c.otherVMs(), stream)
	s := &search{
		controller: c, ask: ask, next: make(map[string][]hawthornrail.VM), waiting: make(map[string]string),
		replies: make(chan askReply, len(vms)),
	}
	for _, v := range vms {
		s.next[v.DataCentre()] = append(s.next[v.DataCentre()], v)
	}
	return s
}

// run takes the replies until one is enough, or no further one is waited for.
func (s *search) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for dataCentre := range s.next {
		s.askNext(ctx, dataCentre, keepersOfDataCentre)
	}
	for late := s.controller.deps.Clock.After(lateReply); len(s.waiting) > 0; {
		select {
		case <-late:
			late = nil
			s.replaceLate(ctx)
		case r := <-s.replies:
			dataCentre := s.waiting[r.vm]
			delete(s.waiting, r.vm)
			if r.take == nil {
				s.askNext(ctx, dataCentre, 1)
				continue
			}
			if r.take() {
				return
			}
		}
	}
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
		go func() { s.replies <- askReply{vm: v.Name(), take: s.ask(ctx, v)} }()
	}
}

// invoke sends a message to a VM, reports whether it replied, and records whether it is
// there.
func (c *Controller) invoke(ctx context.Context, vm hawthornrail.VM, open *vmpb.Open, reply proto.Message) bool {
	_, err := c.deps.Invoker.Invoke(ctx, vm.Address(), open, reply)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		// The reply is no longer needed, so that nothing is known of the VM.
		return false
	}
	// A VM of an older build declines messages that it does not know.
	c.absences.record(vm.Name(), err == nil || errors.Is(err, peer.ErrDeclined), c.deps.Clock.Now())
	return err == nil
}
