package streams

import (
	"context"
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/version"
	"hawthornrail.example/hawthornrail/internal/vm/ranking"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// maxStreamAge is the time within which a stream began that a caller takes up. It
	// does not follow from the route's timeout, which may have been longer then.
	maxStreamAge = version.Retention
	// maxConfigAge is the age of the configuration up to which this VM relies on its
	// own list of endpoints; a VM that is cut off may miss a new version.
	maxConfigAge = 2 * time.Second
)

// Find returns where a stream began that a caller takes up: as this VM or one of
// those that keep its origin knows. If none knows, the stream began at the only version
// that the route's service has had while the stream can have begun, if there was only one.
func (c *Controller) Find(ctx context.Context, stream string, route hawthornrail.Route) (hawthornrail.StreamOrigin, bool) {
	service := soleService(route)
	c.mu.Lock()
	c.observeLocked()
	origin, ok := c.origins.find(stream)
	own := c.versionsLocked(service, maxStreamAge)
	c.mu.Unlock()
	if ok {
		return origin, true
	}
	found := &originReplies{several: own.GetSeveral(), sole: own.GetSole()}
	newSearch(c, stream, func(ctx context.Context, vm hawthornrail.VM) func() bool {
		ask := &vmpb.StreamAsk{Stream: stream, Service: service, WindowMs: uint32(maxStreamAge.Milliseconds())}
		var reply vmpb.StreamReply
		if !c.invoke(ctx, vm, &vmpb.Open{Kind: &vmpb.Open_StreamAsk{StreamAsk: ask}}, &reply) {
			return nil
		}
		return func() bool { return found.add(&reply) }
	}).run(ctx)
	return found.result()
}

// originReplies combines what VMs know of where a stream began.
type originReplies struct {
	origin *vmpb.StreamOrigin
	// several is set if the service has had several versions, and sole is its only one.
	several bool
	sole    *vmpb.StreamOrigin
}

// add adds a reply and reports whether it tells where the stream began.
func (o *originReplies) add(reply *vmpb.StreamReply) bool {
	o.several = o.several || reply.GetSeveral()
	if reply.GetSole() != nil {
		o.sole = reply.GetSole()
	}
	o.origin = reply.GetOrigin()
	return o.origin != nil
}

func (o *originReplies) result() (origin hawthornrail.StreamOrigin, ok bool) {
	switch {
	case o.origin != nil:
		return originFromWire(o.origin), true
	case o.several || o.sole == nil:
		return hawthornrail.StreamOrigin{}, false
	default:
		return originFromWire(o.sole), true
	}
}

// soleService returns the service of a route that has only one.
func soleService(route hawthornrail.Route) string {
	if targets := route.Targets(); len(targets) == 1 {
		return targets[0].Service()
	}
	return ""
}

// otherVMs returns the other entry VMs.
func (c *Controller) otherVMs() []hawthornrail.VM {
	return slices.DeleteFunc(c.deps.Config.Snapshot().EntryVMs(), func(v hawthornrail.VM) bool { return v.Name() == c.deps.VM })
}

// keepers returns the VMs of which one is told where a stream began: those in this VM's data
// centre, where its caller probably takes it up, or those in others.
func (c *Controller) keepers(remote bool) []hawthornrail.VM {
	return slices.DeleteFunc(c.otherVMs(), func(v hawthornrail.VM) bool { return remote == (v.DataCentre() == c.deps.DataCentre) })
}

// ranked returns VMs in the order in which they keep the origin of a stream. Others take the
// place of those that do not reply.
func (c *Controller) ranked(vms []hawthornrail.VM, stream string) []hawthornrail.VM {
	return c.absences.absentLast(ranking.ByHash(vms, " "+stream), c.deps.Clock.Now())
}
