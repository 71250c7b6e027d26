package serve

import (
	"context"
	"fmt"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/dig"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/caller/filter"
	"hawthornrail.example/hawthornrail/internal/caller/server"
	"hawthornrail.example/hawthornrail/internal/config/controller"
	"hawthornrail.example/hawthornrail/internal/config/relay"
	"hawthornrail.example/hawthornrail/internal/endpoint/engine"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/endpoint/load"
	"hawthornrail.example/hawthornrail/internal/endpoint/pool"
	"hawthornrail.example/hawthornrail/internal/endpoint/service"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
	"hawthornrail.example/hawthornrail/internal/operator/settings"
	"hawthornrail.example/hawthornrail/internal/platform/claims"
	"hawthornrail.example/hawthornrail/internal/platform/client"
	policy "hawthornrail.example/hawthornrail/internal/policy/endpoint"
	"hawthornrail.example/hawthornrail/internal/policy/fair"
	"hawthornrail.example/hawthornrail/internal/program/home"
	"hawthornrail.example/hawthornrail/internal/program/memory"
	"hawthornrail.example/hawthornrail/internal/program/replica"
	"hawthornrail.example/hawthornrail/internal/team/keyring"
	"hawthornrail.example/hawthornrail/internal/team/rate"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
	"hawthornrail.example/hawthornrail/internal/vm/fleet"
	"hawthornrail.example/hawthornrail/internal/vm/members"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	vmtls "hawthornrail.example/hawthornrail/internal/vm/tls"
)

// container returns the dependency injection container with every part of the
// process.
func container(s settings.Settings) (*dig.Container, error) {
	c := dig.New()
	providers := []any{
		func() settings.Settings { return s },
		clock.Real,
		newLogger,
		newTracer,
		gometrics.NewRegistry,
		metrics.NewRequests,
		newInstance,
		func(s settings.Settings) hawthornrail.Dialer { return dial.New(s.RelayRoutes()) },
		func(s settings.Settings, d hawthornrail.Dialer) *client.Client {
			return client.New(s.PlatformAddress(), d)
		},
		newController,
		newRegistry,
		func(c *controller.Controller) hawthornrail.Configuration { return c },
		http.New,
		newPool,
		func(p *pool.Pool) hawthornrail.Picker { return p },
		newQueue,
		newPoller,
		newMutual,
		func(c *peer.Client) *rate.Client { return rate.NewClient(c) },
		rate.NewLimiter,
		func(f *rate.Limiter) hawthornrail.Admitter { return f },
		newPeerServer,
		newPeerClient,
		newTable,
		func(t *members.Table) hawthornrail.Membership { return t },
		members.NewProber,
		newHoldings,
		func(o *fleet.Holdings) hawthornrail.Replicator { return o },
		fleet.NewRouter,
		newRelay,
		replica.NewStore,
		newHome,
		newMemory,
		claims.New,
		newForwarder,
		newReceiver,
		newCallerServer,
		newProcess,
	}
	for _, p := range providers {
		if err := c.Provide(p); err != nil {
			return nil, fmt.Errorf("wire process: %w", err)
		}
	}
	return c, nil
}

func newLogger(s settings.Settings) (events.Logger, error) {
	l, err := events.NewStderr(s.LogLevel())
	return l.With("vm", s.VM()), err
}

func newTracer(s settings.Settings) (*traces.Tracer, error) {
	switch s.TraceExporter() {
	case "file":
		return traces.NewFile(s.TraceFile())
	case "otlp":
		return traces.NewOTLP(context.Background(), s.TraceAddress())
	default:
		return traces.NewNoop(), nil
	}
}

// newInstance uses the start time as the incarnation, so that it increases with
// every start of the process.
func newInstance(s settings.Settings, k hawthornrail.Clock) hawthornrail.Instance {
	return hawthornrail.NewInstance(s.VM(), s.DataCentre(), uint64(k.Now().UnixMilli()))
}

func newController(p *client.Client, k hawthornrail.Clock, l events.Logger) *controller.Controller {
	return controller.New(p, k, l.Layer("config"))
}

func newRegistry(c *controller.Controller) *keyring.Tracker {
	r := keyring.NewTracker(c)
	c.OnChange(r.CancelRevoked)
	return r
}

func newPool(c hawthornrail.Configuration, k hawthornrail.Clock, s settings.Settings) *pool.Pool {
	return pool.New(c, k, s.DataCentre(), s.VM(), policy.DefaultParams())
}

func newPoller(c hawthornrail.Configuration, t *http.Transport, p *pool.Pool, k hawthornrail.Clock) *load.Poller {
	return load.NewPoller(c, t, p, k)
}

func newQueue(p *pool.Pool, k hawthornrail.Clock) hawthornrail.Queue {
	return fair.NewQueue(fair.DefaultLimits(), p, k)
}

// newMutual returns nil if the settings disable TLS between VMs.
func newMutual(s settings.Settings) (*vmtls.Mutual, error) {
	if s.PeerPlain() {
		return nil, nil
	}
	return vmtls.NewMutual(s.PeerCertificate(), s.PeerKey(), s.PeerAuthority())
}

func newPeerServer(i hawthornrail.Instance, s settings.Settings, m *vmtls.Mutual, k hawthornrail.Clock, l events.Logger) *peer.Server {
	return peer.NewServer(i, s.Secret(), m, k, l.Layer("peer"))
}

func newPeerClient(i hawthornrail.Instance, s settings.Settings, m *vmtls.Mutual, k hawthornrail.Clock, d hawthornrail.Dialer) *peer.Client {
	return peer.NewClient(i, s.Secret(), m, k, d)
}

type holdingsIn struct {
	dig.In

	Self     hawthornrail.Instance
	Clock    hawthornrail.Clock
	Config   hawthornrail.Configuration
	Members  hawthornrail.Membership
	Client   *peer.Client
	Platform *client.Client
	Replicas *replica.Store
	Log      events.Logger
}

func newHoldings(in holdingsIn) *fleet.Holdings {
	return fleet.NewHoldings(fleet.HoldingsDependencies{
		Self: in.Self, Clock: in.Clock, Config: in.Config, Members: in.Members, Client: in.Client,
		Platform: in.Platform, Replicas: in.Replicas, Log: in.Log.Layer("holdings"),
	})
}

func newTable(i hawthornrail.Instance, s settings.Settings) *members.Table {
	return members.NewTable(hawthornrail.NewMember(i, s.PeerAddress(), false, time.Time{}))
}

type homeIn struct {
	dig.In

	Self       hawthornrail.Instance
	Settings   settings.Settings
	Clock      hawthornrail.Clock
	Config     hawthornrail.Configuration
	Replicator hawthornrail.Replicator
	Queue      hawthornrail.Queue
	Picker     hawthornrail.Picker
	Transport  *http.Transport
	Tracer     *traces.Tracer
	Log        events.Logger
}

func newHome(in homeIn) *home.Home {
	return home.New(home.Dependencies{
		Self: in.Self, Secret: in.Settings.Secret(), Clock: in.Clock, Config: in.Config,
		Replicator: in.Replicator, Queue: in.Queue, Picker: in.Picker,
		Engines:  engine.New(in.Transport, in.Tracer),
		Services: service.New(in.Transport, in.Tracer),
		Tracer:   in.Tracer, Log: in.Log.Layer("home"),
		RetryLimit:   in.Settings.RetryLimit(),
		DefaultReply: in.Settings.DefaultResponseTokens(),
	})
}

func newForwarder(r *fleet.Router, p *peer.Client, h *home.Home, k *claims.Claims, s settings.Settings) *fleet.Forwarder {
	return fleet.NewForwarder(r, p, h, k, s.Secret())
}

func newRelay(c *controller.Controller, t *members.Table, m *members.Prober, p *peer.Client, k hawthornrail.Clock, s settings.Settings) *relay.Relay {
	r := relay.New(c, t, p, k, s.Peers())
	m.OnRevision(r.HandleRevision)
	return r
}

func newMemory(h *home.Home, t *http.Transport, c hawthornrail.Configuration, k hawthornrail.Clock, l events.Logger) *memory.Controller {
	return memory.New(h, engine.NewMemory(t), c, k, l.Layer("memory"))
}

func newReceiver(s settings.Settings, h *home.Home, o *fleet.Holdings, m *members.Prober, f *rate.Limiter, c *relay.Relay) *fleet.Receiver {
	return fleet.NewReceiver(s.Secret(), h, o, m, f, c)
}

type callersIn struct {
	dig.In

	Forwarder *fleet.Forwarder
	Holdings  *fleet.Holdings
	Rates     *rate.Limiter
	Admitter  hawthornrail.Admitter
	Config    hawthornrail.Configuration
	Clock     hawthornrail.Clock
	Requests  *metrics.Requests
	Keys      *keyring.Tracker
	Tracer    *traces.Tracer
	Log       events.Logger
	Settings  settings.Settings
}

func newCallerServer(in callersIn) *server.Server {
	s := in.Settings
	chain := filter.Chain(in.Forwarder,
		filter.NewObserve(in.Clock, in.Requests),
		filter.NewIdentify(in.Config),
		filter.NewRevoke(in.Keys, in.Clock),
		filter.NewAuthorise(in.Config, s.Secret()),
		filter.NewAdmit(in.Admitter),
	)
	return server.New(chain, in.Forwarder, in.Config, in.Keys, in.Tracer, in.Log.Layer("caller"), server.Options{
		MaxBodyBytes: s.MaxBodyBytes(), ReadTimeout: s.ReadTimeout(), RequestTimeout: s.RequestTimeout(),
		Ready: func() bool { return in.Holdings.Ready() && in.Rates.Ready() },
	})
}
