package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/caller/proxy"
	"hawthornrail.example/hawthornrail/internal/conversation/client"
	"hawthornrail.example/hawthornrail/internal/conversation/handoff"
	"hawthornrail.example/hawthornrail/internal/endpoint/contact"
	"hawthornrail.example/hawthornrail/internal/endpoint/forward"
	endpointhttp "hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/endpoint/pool"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
	"hawthornrail.example/hawthornrail/internal/operator/machine"
	"hawthornrail.example/hawthornrail/internal/operator/node"
	policy "hawthornrail.example/hawthornrail/internal/policy/endpoint"
	"hawthornrail.example/hawthornrail/internal/policy/memory"
	"hawthornrail.example/hawthornrail/internal/program/account"
	"hawthornrail.example/hawthornrail/internal/vm/detour"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/vm/streams"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// drainDelay is how long a VM that shuts down still serves new requests. The
	// load balancer detects that the VM is draining within two readiness checks,
	// which are one second apart.
	drainDelay = 3 * time.Second
	// stopMargin is the part of the grace period that is reserved for stopping
	// the process after its requests have been drained.
	stopMargin = time.Second
	// abortTimeout is the part of it in which the callers of requests that have not
	// ended are told.
	abortTimeout = 500 * time.Millisecond
	// turnTimeout is the part of it in which copies of turns are still made.
	turnTimeout = 300 * time.Millisecond
	// callerDescriptorShare is the fraction of the descriptors, as a divisor, that
	// connections of callers may use. Each can take as many again at an endpoint, and the
	// rest is for VMs and the platform's store.
	callerDescriptorShare = 3
)

// entry is the running process.
type entry struct {
	node     *node.Node
	server   *proxy.Server
	streams  *streams.Controller
	detours  *detour.Server
	turns    *client.Client
	draining atomic.Bool
}

// Run serves until ctx is done or a listener fails, then shuts down gracefully.
func Run(ctx context.Context, s machine.Settings, a node.Adapter) error {
	kinds := []string{a.Kinds.Config, a.Kinds.Endpoints, a.Kinds.VMs}
	if s.EvacuationsInForce() > 0 {
		kinds = append(kinds, a.Kinds.Evacuations)
	}
	n := node.New(s, a, s.VM(), kinds)
	c, err := container(n)
	if err != nil {
		return err
	}
	var runErr error
	if err := c.Invoke(func(e *entry) { runErr = e.run(ctx) }); err != nil {
		return fmt.Errorf("start process: %w", err)
	}
	return runErr
}

// container returns the dependency injection container with the parts of an
// entry VM.
func container(n *node.Node) (*dig.Container, error) {
	c := dig.New()
	providers := []any{
		func() *node.Node { return n },
		func() *metrics.Forwards { return metrics.NewForwards(n.Metrics()) },
		func() *trail.Recorder {
			return trail.NewRecorder(n.Output(), n.Settings().VM(), n.Settings().LogSample())
		},
		func() *endpointhttp.Buffers { return newBuffers(n.Settings()) },
		func(b *endpointhttp.Buffers) *endpointhttp.Transport {
			return endpointhttp.New(n.Clock(), n.Adapter().Dialer).LimitHeads(n.Settings().MaxResponseHeaderBytes()).WithBuffers(b)
		},
		func() *pool.Pool {
			return pool.New(n.Config(), n.Clock(), n.Settings().DataCentre(), n.Settings().VM(), policy.ForwardParams())
		},
		func() *memory.Budget { return memory.NewBudget(n.Settings().RequestBytes()) },
		newAccounts,
		func() hawthornrail.Quarantine { return n.Suspects() },
		newStreams,
		func(c *streams.Controller) hawthornrail.StreamOrigins { return c },
		func(c *streams.Controller) hawthornrail.TurnsUnderWay { return c },
		newDetour,
		newContact,
		newForwarder,
		newDetourServer,
		func() *metrics.Conversations { return metrics.NewConversations(n.Metrics()) },
		newTurns,
		newConversations,
		newServer,
		func(s *proxy.Server, o *streams.Controller, d *detour.Server, c *client.Client) *entry {
			return &entry{node: n, server: s, streams: o, detours: d, turns: c}
		},
	}
	for _, p := range providers {
		if err := c.Provide(p); err != nil {
			return nil, fmt.Errorf("wire process: %w", err)
		}
	}
	return c, nil
}

func newBuffers(s machine.Settings) *endpointhttp.Buffers {
	return endpointhttp.NewBuffers(endpointhttp.BufferLimits{
		BodyBytes: s.MaxResponseBodyBytes(), EventBytes: s.MaxEventBytes(), TotalBytes: s.ResponseBytes(),
	})
}

func newAccounts(n *node.Node) hawthornrail.Accounts {
	return account.NewClient(account.ClientDependencies{
		DataCentre: n.Settings().DataCentre(), DataCentres: n.Settings().DataCentres(),
		Config: n.Config(), Invoker: n.RelayClient(), Clock: n.Clock(), Log: n.Log().Layer("account"),
	})
}

func newStreams(n *node.Node) *streams.Controller {
	return streams.New(streams.Dependencies{
		VM: n.Settings().VM(), DataCentre: n.Settings().DataCentre(), Config: n.Config(), Invoker: n.DirectClient(), Clock: n.Clock(),
	})
}

func newDetour(n *node.Node) hawthornrail.Detour {
	return detour.NewClient(detour.ClientDependencies{
		VM: n.Settings().VM(), DataCentre: n.Settings().DataCentre(), Config: n.Config(), Peers: n.DirectClient(), Clock: n.Clock(),
	})
}

func newContact(n *node.Node, t *endpointhttp.Transport, d hawthornrail.Detour) *contact.Tracker {
	return contact.New(contact.Dependencies{
		DataCentre: n.Settings().DataCentre(), Config: n.Config(), Connector: t, Detour: d,
		Clock: n.Clock(), Log: n.Log().Layer("endpoint"), Loop: n.Loop,
	})
}

// forwarderIn are the dependencies of a forwarder.
type forwarderIn struct {
	dig.In

	Node       *node.Node
	Pool       *pool.Pool
	Transport  *endpointhttp.Transport
	Buffers    *endpointhttp.Buffers
	Forwards   *metrics.Forwards
	Quarantine hawthornrail.Quarantine
	Origins    hawthornrail.StreamOrigins
	Contact    *contact.Tracker
	Detour     hawthornrail.Detour
}

func newForwarder(in forwarderIn) *forward.Forwarder {
	n := in.Node
	metrics.Gauge(n.Metrics(), "endpoints.dialed", in.Transport.Dialed)
	metrics.Gauge(n.Metrics(), "endpoints.held_bytes", in.Buffers.Held)
	metrics.Gauge(n.Metrics(), "endpoints.refused_evacuated", in.Pool.EvacuatedRefusals)
	metrics.Gauge(n.Metrics(), "endpoints.refused_limited", in.Pool.LimitRefusals)
	return forward.New(forward.Dependencies{
		Config: n.Config(), Pool: in.Pool, Transport: in.Transport, Buffers: in.Buffers, Codec: n.Adapter().Endpoints, Clock: n.Clock(), Forwards: in.Forwards,
		Quarantine: in.Quarantine, Origins: in.Origins, Contact: in.Contact, Detour: in.Detour, Log: n.Log().Layer("endpoint"),
	})
}

func newDetourServer(n *node.Node, f *forward.Forwarder, c *contact.Tracker, r *trail.Recorder, m *memory.Budget) *detour.Server {
	return detour.NewServer(detour.ServerDependencies{
		Handler: f, Contact: c, Clock: n.Clock(), Recorder: r, MemoryBytes: n.Settings().MemoryBytes(), Memory: m,
	})
}

func newTurns(n *node.Node, m *metrics.Conversations) *client.Client {
	h := handoff.New(handoff.Dependencies{
		Keeper: n.Adapter().Keeper, WritesPerSecond: n.Settings().StoreWritesPerSecond(), Config: n.Config(), Clock: n.Clock(), Log: n.Log().Layer("conversation"),
	})
	c := client.New(client.Dependencies{
		DataCentre: n.Settings().DataCentre(), DataCentres: n.Settings().DataCentres(), ToleratedDiskLosses: n.Settings().ToleratedDiskLosses(),
		Handoff: h, Config: n.Config(), Freshness: n.Freshness(), Invoker: client.NewStreams(n.DirectClient(), n.RelayClient()), Clock: n.Clock(), Log: n.Log().Layer("conversation"), Metrics: m,
		BackgroundBytes: n.Settings().BackgroundTurnBytes(),
	})
	metrics.Gauge(n.Metrics(), "conversations.background_bytes", c.Background)
	return c
}

func newConversations(n *node.Node, m *metrics.Conversations, c *client.Client, u hawthornrail.TurnsUnderWay) *proxy.Conversations {
	return proxy.NewConversations(proxy.ConversationDependencies{
		Conversations: c, UnderWay: u, Clock: n.Clock(), Metrics: m, MaxChainBytes: n.Settings().MaxChainBytes(),
	})
}

// serverIn are the dependencies of the server for callers.
type serverIn struct {
	dig.In

	Node          *node.Node
	Forwarder     *forward.Forwarder
	Accounts      hawthornrail.Accounts
	Quarantine    hawthornrail.Quarantine
	Conversations *proxy.Conversations
	Recorder      *trail.Recorder
	Forwards      *metrics.Forwards
	Memory        *memory.Budget
	Buffers       *endpointhttp.Buffers
}

func newServer(in serverIn) *proxy.Server {
	n := in.Node
	metrics.Gauge(n.Metrics(), "requests.held_bytes", in.Memory.Held)
	metrics.Gauge(n.Metrics(), "requests.evicted", in.Memory.Evicted)
	chain := proxy.Chain(in.Forwarder,
		proxy.NewIdentify(n.Config(), n.Freshness()),
		proxy.NewTimeout(n.Clock()),
		proxy.NewQuarantine(in.Quarantine),
		in.Conversations,
		proxy.NewBudget(in.Accounts, n.Config()),
		proxy.NewAdmit(n.Rates(), n.Clock(), in.Forwards),
	)
	return proxy.New(proxy.Dependencies{
		Handler: chain, Codec: n.Adapter().Callers, Clock: n.Clock(), Recorder: in.Recorder, Forwards: in.Forwards, Log: n.Log().Layer("caller"),
		Memory: in.Memory, ResponsesFull: in.Buffers.Full,
		MaxHeaderBytes: n.Settings().MaxHeaderBytes(), MaxBodyBytes: n.Settings().MaxBodyBytes(),
		MaxConnections: min(n.Settings().MaxConnections(), descriptorLimit()/callerDescriptorShare),
	})
}

// descriptorLimit returns how many descriptors the process may open.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

func (e *entry) run(ctx context.Context) error {
	n := e.node
	receive := func(ctx context.Context, open *vmpb.Open, s *peer.Stream) bool {
		return e.streams.Receive(open, s) || e.detours.Receive(ctx, open, s)
	}
	n.SetShed(e.server.Shed)
	if err := n.Start(receive); err != nil {
		return err
	}
	n.Loop(e.streams.Run)
	callerListener, err := net.Listen("tcp", n.Settings().CallerAddress())
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if err := e.serveReadiness(); err != nil {
		return err
	}
	n.Go(func(context.Context) error { return e.server.Serve(callerListener) })
	n.Loop(func(ctx context.Context) {
		n.Register(ctx, hawthornrail.NewVM(n.Settings().VM(), n.Settings().DataCentre(), n.Settings().PeerAddress(), false))
	})
	failure := n.Wait(ctx)
	e.shutdown()
	return node.ExitError(failure)
}

// ready reports whether the load balancer may open new connections to this VM.
func (e *entry) ready() bool {
	return !e.draining.Load() && e.node.Ready() && len(e.node.Config().Snapshot().Endpoints()) > 0
}

func (e *entry) serveReadiness() error {
	l, err := net.Listen("tcp", e.node.Settings().ReadinessAddress())
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	r := router.New()
	r.GET(e.node.Adapter().ReadyPath, func(ctx *fasthttp.RequestCtx) {
		if !e.ready() {
			ctx.SetStatusCode(http.StatusServiceUnavailable)
		}
	})
	server := &fasthttp.Server{Handler: r.Handler, NoDefaultServerHeader: true}
	e.node.Go(func(context.Context) error { return server.Serve(l) })
	return nil
}

// shutdown serves new requests until the load balancer has detected that the VM
// is draining, then waits for the requests in flight and stops the process.
func (e *entry) shutdown() {
	n := e.node
	start := n.Clock().Now()
	n.Log().Event(events.ProcessStopping).Int("requests", e.server.InFlight()).Emit()
	e.draining.Store(true)
	n.Withdraw()
	e.server.StartDraining()
	e.detours.StartDraining()
	grace := n.Settings().Grace() - stopMargin
	n.Clock().Sleep(min(drainDelay, grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), max(0, grace-n.Clock().Since(start)))
	defer cancel()
	if err := errors.Join(e.server.Shutdown(ctx), e.detours.Wait(ctx)); err != nil {
		n.Log().Event(events.DrainTimedOut).Int("requests", e.server.InFlight()).Err(err).Emit()
		e.server.Abort(abortTimeout)
	}
	ctx, cancelTurns := context.WithTimeout(context.Background(), turnTimeout)
	defer cancelTurns()
	e.turns.Wait(ctx)
	n.Log().Event(events.ProcessDrained).Millis("took_ms", n.Clock().Since(start)).Emit()
	n.Stop()
}
