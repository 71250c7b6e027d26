package streams

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/policy/version"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// observeInterval is the interval at which the list of endpoints is compared
	// with the previous one.
	observeInterval = 100 * time.Millisecond
	// reportDelay is how long the origin of a stream waits for others to be sent
	// with it.
	reportDelay = 20 * time.Millisecond
	// reportTimeout bounds one message about origins.
	reportTimeout = time.Second
	// maxUnreported bounds the reports that wait to be sent; the streams beyond are
	// known to fewer VMs.
	maxUnreported = 8192
	// maxAttempts bounds the VMs that are tried for one report.
	maxAttempts = 8
)

// Dependencies are the dependencies of a Controller.
type Dependencies struct {
	// VM is the name of this VM.
	VM         string
	DataCentre string
	Config     hawthornrail.Configuration
	Invoker    peer.Invoker
	Clock      hawthornrail.Clock
}

// Controller knows which version began a stream, and the events of turns under way, of
// those that began here and of some that began at other VMs; it implements
// hawthornrail.StreamOrigins and hawthornrail.TurnsUnderWay.
type Controller struct {
	deps Dependencies

	mu      sync.Mutex
	origins *origins
	history *version.History
	// observed is the configuration whose endpoints the history contains.
	observed   *hawthornrail.Snapshot
	unreported []report
	changed    chan struct{}
	absences   *absences
	// turns are the events of turns under way here and at some other VMs.
	turns *turnEvents
}

// report is the origin of a stream that a VM has to be told, in this VM's data centre or in
// another.
type report struct {
	origin   *vmpb.StreamOrigin
	remote   bool
	attempts int
}

// New returns a controller that knows no stream.
func New(deps Dependencies) *Controller {
	return &Controller{
		deps: deps, origins: newOrigins(), history: version.NewHistory(), changed: make(chan struct{}, 1), absences: newAbsences(),
		turns: newTurnEvents(),
	}
}

// Run observes the endpoints and tells other VMs of streams until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var pending sync.WaitGroup
	defer pending.Wait()
	pending.Go(func() {
		for clock.Wait(ctx, c.deps.Clock, observeInterval) {
			c.observe()
		}
	})
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
		}
		if !clock.Wait(ctx, c.deps.Clock, reportDelay) {
			return
		}
		for vm, reports := range c.takeUnreported() {
			pending.Go(func() { c.send(ctx, vm, reports) })
		}
	}
}

func (c *Controller) observe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeLocked()
}

// observeLocked adds the endpoints in force to the history; c.mu must be held. The history
// begins anew where this VM may have missed a version, and with a new configuration: a stream
// from before it may have begun at another service.
func (c *Controller) observeLocked() {
	now := c.deps.Clock.Now()
	snapshot := c.deps.Config.Snapshot()
	if c.deps.Config.Age() > maxConfigAge || c.observed == nil || snapshot.Revision() != c.observed.Revision() {
		c.history.Restart(now)
	}
	if snapshot == c.observed {
		return
	}
	c.observed = snapshot
	c.history.Observe(snapshot.Endpoints(), now)
}

// Record records where a stream began and tells other VMs, also while its service has one
// version: once it has two, what began before can't be told from the list of endpoints,
// and this VM may be gone.
func (c *Controller) Record(stream string, origin hawthornrail.StreamOrigin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.origins.add(stream, origin, c.deps.Clock.Now())
	m := originToWire(stream, origin)
	c.addReportsLocked(report{origin: m}, report{origin: m, remote: true})
}

// addReportsLocked adds reports that are due soon; c.mu must be held.
func (c *Controller) addReportsLocked(reports ...report) {
	if len(c.unreported)+len(reports) > maxUnreported {
		return
	}
	c.unreported = append(c.unreported, reports...)
	select {
	case c.changed <- struct{}{}:
	default:
		// A message is already due.
	}
}

// takeUnreported returns the reports to each VM.
func (c *Controller) takeUnreported() map[hawthornrail.VM][]report {
	c.mu.Lock()
	reports := c.unreported
	c.unreported = nil
	c.mu.Unlock()
	messages := make(map[hawthornrail.VM][]report)
	keepers := map[bool][]hawthornrail.VM{false: c.keepers(false), true: c.keepers(true)}
	for _, r := range reports {
		if order := c.ranked(keepers[r.remote], r.origin.GetStream()); len(order) > 0 {
			messages[order[0]] = append(messages[order[0]], r)
		}
	}
	return messages
}

// send sends reports to a VM, and to another one if it does not reply.
func (c *Controller) send(ctx context.Context, vm hawthornrail.VM, reports []report) {
	sendCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	message := &vmpb.StreamsBegun{}
	for _, r := range reports {
		message.Streams = append(message.Streams, r.origin)
	}
	open := &vmpb.Open{Kind: &vmpb.Open_StreamsBegun{StreamsBegun: message}}
	if c.invoke(sendCtx, vm, open, &vmpb.StreamsBegunReply{}) || ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		if r.attempts++; r.attempts < maxAttempts {
			c.addReportsLocked(r)
		}
	}
}

// Receive serves the requests of other VMs about streams and reports whether open
// is one.
func (c *Controller) Receive(open *vmpb.Open, s *peer.Stream) bool {
	reply := c.reply(open)
	if reply == nil {
		return false
	}
	c.absences.record(s.From().VM(), true, c.deps.Clock.Now())
	// A VM that misses the reply tells or asks others.
	_ = s.Send(reply)
	return true
}

// reply returns the reply to a request about streams, or nil if open is none.
func (c *Controller) reply(open *vmpb.Open) proto.Message {
	switch k := open.GetKind().(type) {
	case *vmpb.Open_StreamsBegun:
		return c.receiveReport(k.StreamsBegun)
	case *vmpb.Open_StreamAsk:
		return c.receiveAsk(k.StreamAsk)
	case *vmpb.Open_TurnEvents:
		return c.receiveTurnEvents(k.TurnEvents)
	case *vmpb.Open_TurnEventsAsk:
		return c.receiveTurnEventsAsk(k.TurnEventsAsk)
	default:
		return nil
	}
}

func (c *Controller) receiveReport(report *vmpb.StreamsBegun) *vmpb.StreamsBegunReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range report.GetStreams() {
		c.origins.add(s.GetStream(), originFromWire(s), c.deps.Clock.Now())
	}
	return &vmpb.StreamsBegunReply{}
}

func (c *Controller) receiveAsk(ask *vmpb.StreamAsk) *vmpb.StreamReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeLocked()
	if origin, ok := c.origins.find(ask.GetStream()); ok {
		return &vmpb.StreamReply{Origin: originToWire(ask.GetStream(), origin)}
	}
	// Older builds name a window that follows from the present timeout of a route.
	window := time.Duration(ask.GetWindowMs()) * time.Millisecond
	return c.versionsLocked(ask.GetService(), max(window, maxStreamAge))
}

// versionsLocked returns what this VM knows of the versions of a service within a
// window; c.mu must be held.
func (c *Controller) versionsLocked(service string, window time.Duration) *vmpb.StreamReply {
	now := c.deps.Clock.Now()
	reply := &vmpb.StreamReply{Several: c.history.Recent(service, window, now) > 1}
	if v, ok := c.history.Sole(service, window, now); ok {
		reply.Sole = originToWire("", hawthornrail.NewStreamOrigin(service, v))
	}
	return reply
}

func originToWire(stream string, origin hawthornrail.StreamOrigin) *vmpb.StreamOrigin {
	return &vmpb.StreamOrigin{Stream: stream, Service: origin.Service(), Version: origin.Version()}
}

func originFromWire(m *vmpb.StreamOrigin) hawthornrail.StreamOrigin {
	return hawthornrail.NewStreamOrigin(m.GetService(), m.GetVersion())
}
