package streams

import (
	"context"
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/ranking"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// findTimeout bounds how long a caller that takes up a stream waits for the
	// VMs that may know where it began.
	findTimeout = 250 * time.Millisecond
	// keepersOfDataCentre is how many VMs of each data centre may keep the origin
	// of a stream: the first one, or the second if the stream began at the first.
	keepersOfDataCentre = 2
	// windowFactor multiplies a route's timeout; a stream that is taken up began
	// within that time.
	windowFactor = 2
	// defaultWindow is that time on a route without a timeout.
	defaultWindow = time.Minute
	// maxConfigAge is the age of the configuration up to which this VM relies on its
	// own list of endpoints; a VM that is cut off may miss a new version.
	maxConfigAge = 2 * time.Second
)

// Find returns where a stream began that a caller takes up: as this VM or one of
// those that keep its origin knows, or, if the route's service has had only one
// version since it can have begun, that one.
func (c *Controller) Find(ctx context.Context, stream string, route hawthornrail.Route) (hawthornrail.StreamOrigin, bool) {
	service := soleService(route)
	window := windowFactor * route.Timeout()
	if window <= 0 {
		window = defaultWindow
	}
	c.mu.Lock()
	c.observeLocked()
	origin, ok := c.origins.find(stream)
	own := c.versionsLocked(service, window)
	c.mu.Unlock()
	if ok {
		return origin, true
	}
	if own.GetSole() != nil && c.deps.Config.Age() <= maxConfigAge {
		return originFromWire(own.GetSole()), true
	}
	ask := &vmpb.StreamAsk{Stream: stream, Service: service, WindowMs: uint32(window.Milliseconds())}
	return c.ask(ctx, ask, own)
}

// soleService returns the service of a route that has only one.
func soleService(route hawthornrail.Route) string {
	if targets := route.Targets(); len(targets) == 1 {
		return targets[0].Service()
	}
	return ""
}

// ask asks the VMs that may keep the origin of a stream, all at once.
func (c *Controller) ask(ctx context.Context, ask *vmpb.StreamAsk, own *vmpb.StreamReply) (hawthornrail.StreamOrigin, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	addresses := c.candidates(c.otherVMs(), ask.GetStream())
	replies := make(chan *vmpb.StreamReply, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply vmpb.StreamReply
			open := &vmpb.Open{Kind: &vmpb.Open_StreamAsk{StreamAsk: &vmpb.StreamAsk{
				Stream: ask.GetStream(), Service: ask.GetService(), WindowMs: ask.GetWindowMs(),
			}}}
			if _, err := c.deps.Invoker.Invoke(ctx, address, open, &reply); err != nil {
				// Another VM may know.
				replies <- nil
				return
			}
			replies <- &reply
		}()
	}
	several, sole := own.GetSeveral(), own.GetSole()
	for range addresses {
		reply := <-replies
		if reply.GetOrigin() != nil {
			return originFromWire(reply.GetOrigin()), true
		}
		several = several || reply.GetSeveral()
		if reply.GetSole() != nil {
			sole = reply.GetSole()
		}
	}
	if several || sole == nil {
		return hawthornrail.StreamOrigin{}, false
	}
	return originFromWire(sole), true
}

// otherVMs returns the other entry VMs.
func (c *Controller) otherVMs() []hawthornrail.VM {
	return slices.DeleteFunc(c.deps.Config.Snapshot().EntryVMs(), func(v hawthornrail.VM) bool { return v.Name() == c.deps.VM })
}

// keepers returns the addresses of the VMs that are told where a stream began:
// one in this VM's data centre, where its caller probably takes it up, and one in
// another.
func (c *Controller) keepers(vms []hawthornrail.VM, stream string) []string {
	var addresses []string
	local, remote := false, false
	for _, v := range ranked(vms, stream) {
		chosen := &remote
		if v.DataCentre() == c.deps.DataCentre {
			chosen = &local
		}
		if !*chosen {
			*chosen = true
			addresses = append(addresses, v.Address())
		}
	}
	return addresses
}

// candidates returns the addresses of the VMs that may have been told where a
// stream began, whichever VM told them.
func (c *Controller) candidates(vms []hawthornrail.VM, stream string) []string {
	var addresses []string
	chosen := make(map[string]int)
	for _, v := range ranked(vms, stream) {
		if chosen[v.DataCentre()]++; chosen[v.DataCentre()] <= keepersOfDataCentre {
			addresses = append(addresses, v.Address())
		}
	}
	return addresses
}

// ranked returns the VMs in the order in which they keep the origin of a stream.
func ranked(vms []hawthornrail.VM, stream string) []hawthornrail.VM {
	return ranking.ByHash(vms, " "+stream)
}
