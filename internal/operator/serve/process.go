package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/dig"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/caller/server"
	"hawthornrail.example/hawthornrail/internal/config/controller"
	"hawthornrail.example/hawthornrail/internal/config/relay"
	"hawthornrail.example/hawthornrail/internal/endpoint/load"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
	"hawthornrail.example/hawthornrail/internal/operator/api"
	"hawthornrail.example/hawthornrail/internal/operator/settings"
	"hawthornrail.example/hawthornrail/internal/program/home"
	"hawthornrail.example/hawthornrail/internal/program/memory"
	"hawthornrail.example/hawthornrail/internal/program/replica"
	"hawthornrail.example/hawthornrail/internal/team/rate"
	"hawthornrail.example/hawthornrail/internal/vm/fleet"
	"hawthornrail.example/hawthornrail/internal/vm/members"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	vmtls "hawthornrail.example/hawthornrail/internal/vm/tls"
)

// handOffTimeout bounds how long a draining VM hands off its holdings.
const handOffTimeout = 10 * time.Second

// processIn holds the dependencies of a process.
type processIn struct {
	dig.In

	Self       hawthornrail.Instance
	Settings   settings.Settings
	Clock      hawthornrail.Clock
	Log        events.Logger
	Tracer     *traces.Tracer
	Registry   gometrics.Registry
	Controller *controller.Controller
	Relay      *relay.Relay
	PeerServer *peer.Server
	PeerClient *peer.Client
	Receiver   *fleet.Receiver
	Home       *home.Home
	Holdings   *fleet.Holdings
	Memory     *memory.Controller
	Replicas   *replica.Store
	Table      *members.Table
	Prober     *members.Prober
	Poller     *load.Poller
	Rates      *rate.Limiter
	Callers    *server.Server
}

// process is the running entry VM.
type process struct {
	in       processIn
	operator *api.Server
	// drain cancels draining, which starts the graceful shutdown.
	drain    context.CancelFunc
	draining context.Context
	failures chan error
	running  sync.WaitGroup
}

func newProcess(in processIn) *process {
	p := &process{in: in, failures: make(chan error, 4)}
	p.draining, p.drain = context.WithCancel(context.Background())
	p.operator = api.New(p.status, p.drain, in.Relay.Fleet, in.Registry)
	p.registerGauges()
	p.operator.AddPrograms(programs{in})
	return p
}

// Run serves until ctx is done, an operator drains the VM or a listener fails;
// then it shuts down gracefully within the drain timeout of the settings.
func Run(ctx context.Context, s settings.Settings) error {
	c, err := container(s)
	if err != nil {
		return err
	}
	var runErr error
	if err := c.Invoke(func(p *process) { runErr = p.run(ctx) }); err != nil {
		return fmt.Errorf("start process: %w", err)
	}
	return runErr
}

func (p *process) status() api.Status {
	s := api.NewStatus(p.in.Self, p.in.Controller)
	s.Programs, s.LivePrograms = p.in.Home.Count()
	s.Replicas = p.in.Replicas.Count()
	s.SoloReplicas = p.in.Replicas.CountSolo()
	for holding, pairing := range p.in.Holdings.Pairings() {
		h := api.Holding{Holding: holding.String(), Epoch: pairing.Epoch()}
		if !pairing.Backup().IsZero() {
			h.Backup = pairing.Backup().String()
		}
		s.Holdings = append(s.Holdings, h)
	}
	s.Ready = p.in.Callers.Ready()
	s.Draining = p.draining.Err() != nil
	s.Requests, s.Forwarded, s.Recording = p.in.Callers.InFlight(), p.in.Receiver.InFlight(), p.in.Home.UnreplicatedOutcomes()
	s.UnconfirmedReleases = p.in.Memory.Unconfirmed()
	return s
}

// registerGauges registers the metrics that are read when they are requested.
func (p *process) registerGauges() {
	metrics.Gauge(p.in.Registry, "config.revision", func() int64 { return int64(p.in.Controller.Snapshot().Revision()) })
	metrics.Gauge(p.in.Registry, "config.age_ms", func() int64 { return p.in.Controller.Age().Milliseconds() })
	metrics.Gauge(p.in.Registry, "programs.held", func() int64 {
		held, _ := p.in.Home.Count()
		return int64(held)
	})
	metrics.Gauge(p.in.Registry, "programs.live", func() int64 {
		_, live := p.in.Home.Count()
		return int64(live)
	})
	metrics.Gauge(p.in.Registry, "programs.replicas", func() int64 { return int64(p.in.Replicas.Count()) })
	metrics.Gauge(p.in.Registry, "process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
}

func (p *process) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	if err := p.listen(background); err != nil {
		stop()
		return err
	}
	p.in.Log.Event(events.ProcessStarted).Str("instance", p.in.Self.String()).Emit()
	var failure error
	select {
	case <-ctx.Done():
	case <-p.draining.Done():
	case failure = <-p.failures:
		p.in.Log.Event(events.ListenerFailed).Err(failure).Emit()
	}
	p.drain()
	p.in.Table.MarkDraining()
	p.in.Holdings.DrainReplicas()
	p.shutdown()
	stop()
	p.awaitBackground()
	p.in.Log.Event(events.ProcessStopped).Emit()
	return failure
}

// listen listens on every address before it starts the servers and background
// loops.
func (p *process) listen(ctx context.Context) error {
	if _, err := p.in.PeerServer.Listen(p.in.Settings.PeerAddress()); err != nil {
		return err
	}
	callerListener, err := listenCallers(p.in.Settings)
	if err != nil {
		return err
	}
	operatorListener, err := net.Listen("tcp", p.in.Settings.OperatorAddress())
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	p.startLoops(ctx)
	p.start(func() error { return p.in.PeerServer.Serve(p.in.Receiver.Handle) })
	p.start(func() error { return p.in.Callers.Serve(callerListener) })
	p.start(func() error { return p.operator.Serve(operatorListener) })
	return nil
}

// startLoops starts the background loops, which run until ctx is done.
func (p *process) startLoops(ctx context.Context) {
	p.in.Holdings.SetHome(p.in.Home)
	p.in.Holdings.Start(ctx)
	loops := []func(context.Context){
		func(ctx context.Context) {
			p.in.Controller.Run(ctx, p.in.Relay.ShouldWatch, p.in.Relay.AnnounceRevision)
		},
		p.in.Relay.Run,
		p.in.Prober.Run,
		p.in.Poller.Run,
		p.in.Holdings.Run,
		p.in.Home.RunSweeper,
		p.in.Memory.Run,
		func(ctx context.Context) { p.in.Home.RunExpiry(ctx, p.in.Memory) },
		p.in.Replicas.RunExpiry,
		p.in.Rates.Run,
	}
	for _, loop := range loops {
		p.start(func() error {
			loop(ctx)
			return nil
		})
	}
}

// listenCallers listens for callers, with TLS unless the settings disable it.
func listenCallers(s settings.Settings) (net.Listener, error) {
	l, err := net.Listen("tcp", s.CallerAddress())
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	if s.CallerPlain() {
		return l, nil
	}
	config, err := vmtls.ForCallers(s.CallerCertificate(), s.CallerKey())
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return tls.NewListener(l, config), nil
}

func (p *process) start(f func() error) {
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		if err := f(); err != nil {
			p.failures <- err
		}
	}()
}
