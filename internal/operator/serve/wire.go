package serve

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/caller/filter"
	"hawthornrail.example/hawthornrail/internal/caller/server"
	"hawthornrail.example/hawthornrail/internal/config/controller"
	"hawthornrail.example/hawthornrail/internal/endpoint/engine"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/endpoint/load"
	"hawthornrail.example/hawthornrail/internal/endpoint/pool"
	"hawthornrail.example/hawthornrail/internal/endpoint/service"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
	"hawthornrail.example/hawthornrail/internal/operator/settings"
	"hawthornrail.example/hawthornrail/internal/platform/client"
	"hawthornrail.example/hawthornrail/internal/policy/fair"
	"hawthornrail.example/hawthornrail/internal/policy/retry"
	"hawthornrail.example/hawthornrail/internal/program/home"
	"hawthornrail.example/hawthornrail/internal/program/replica"
	"hawthornrail.example/hawthornrail/internal/team/rate"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
	"hawthornrail.example/hawthornrail/internal/vm/fleet"
	"hawthornrail.example/hawthornrail/internal/vm/members"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
)

// container provides every part of the process.
func container(s settings.Settings) (*dig.Container, error) {
	c := dig.New()
	providers := []any{
		func() settings.Settings { return s },
		clock.Real,
		newLogger,
		newTracer,
		metrics.NewRegistry,
		newInstance,
		func(s settings.Settings) hawthornrail.Dialer { return dial.New(s.TestRoutes()) },
		func(s settings.Settings, d hawthornrail.Dialer) *client.Client {
			return client.New(s.PlatformAddress(), d)
		},
		newController,
		func(c *controller.Controller) hawthornrail.Configuration { return c },
		http.New,
		newPool,
		func(p *pool.Pool) hawthornrail.Picker { return p },
		newQueue,
		newPoller,
		func(c hawthornrail.Configuration, k hawthornrail.Clock) hawthornrail.Admitter {
			return rate.NewStatic(c, k)
		},
		newPeerServer,
		newPeerClient,
		newTable,
		func(t *members.Table) hawthornrail.Membership { return t },
		members.NewProber,
		newReplicator,
		replica.NewStore,
		newHome,
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
		return traces.NewNone(), nil
	}
}

// newInstance takes the start time as the incarnation, so that a later run
// has a higher one.
func newInstance(s settings.Settings, k hawthornrail.Clock) hawthornrail.Instance {
	return hawthornrail.NewInstance(s.VM(), s.DataCentre(), uint64(k.Now().UnixMilli()))
}

func newController(p *client.Client, k hawthornrail.Clock, l events.Logger) *controller.Controller {
	return controller.New(p, k, l.Layer("config"))
}

func newPool(c hawthornrail.Configuration, k hawthornrail.Clock, s settings.Settings) *pool.Pool {
	return pool.New(c, k, s.DataCentre())
}

func newPoller(c hawthornrail.Configuration, t *http.Transport, p *pool.Pool, k hawthornrail.Clock) *load.Poller {
	return load.NewPoller(c, t, p, k)
}

func newQueue(p *pool.Pool, k hawthornrail.Clock) hawthornrail.Queue {
	return fair.NewQueue(fair.DefaultLimits(), p, k)
}

func newPeerServer(i hawthornrail.Instance, s settings.Settings, k hawthornrail.Clock, l events.Logger) *peer.Server {
	return peer.NewServer(i, s.Secret(), k, l.Layer("peer"))
}

func newPeerClient(i hawthornrail.Instance, s settings.Settings, k hawthornrail.Clock, d hawthornrail.Dialer) *peer.Client {
	return peer.NewClient(i, s.Secret(), k, d)
}

func newReplicator(i hawthornrail.Instance, c hawthornrail.Configuration, p *peer.Client) hawthornrail.Replicator {
	return fleet.NewReplicator(i, c, p)
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
	return home.New(home.Parts{
		Self: in.Self, Secret: in.Settings.Secret(), Clock: in.Clock, Config: in.Config,
		Replicator: in.Replicator, Queue: in.Queue, Picker: in.Picker,
		Engines:  engine.New(in.Transport, in.Tracer),
		Services: service.New(in.Transport, in.Tracer),
		Tracer:   in.Tracer, Log: in.Log.Layer("home"),
		RetryLimit: in.Settings.RetryLimit(), Retries: retry.NewBudget(),
		DefaultReply: in.Settings.ReplyTokens(),
	})
}

func newForwarder(i hawthornrail.Instance, c hawthornrail.Membership, p *peer.Client, h *home.Home, s settings.Settings) *fleet.Forwarder {
	return fleet.NewForwarder(i, c, p, h, s.Secret())
}

func newReceiver(c hawthornrail.Configuration, s settings.Settings, h *home.Home, r *replica.Store, m *members.Prober) *fleet.Receiver {
	return fleet.NewReceiver(c, s.Secret(), h, r, m)
}

func newCallerServer(f *fleet.Forwarder, a hawthornrail.Admitter, c hawthornrail.Configuration, t *traces.Tracer, l events.Logger, s settings.Settings) *server.Server {
	chain := filter.Chain(f, filter.NewIdentify(c), filter.NewAuthorise(c, s.Secret()), filter.NewAdmit(a))
	return server.New(chain, f, c, t, l.Layer("caller"), server.Options{
		MaxBodyBytes: s.MaxBodyBytes(), ReadTimeout: s.ReadTimeout(), RequestTimeout: s.RequestTimeout(),
	})
}
