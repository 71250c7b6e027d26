package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/caller/server"
	"hawthornrail.example/hawthornrail/internal/config/controller"
	"hawthornrail.example/hawthornrail/internal/endpoint/load"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
	"hawthornrail.example/hawthornrail/internal/operator/api"
	"hawthornrail.example/hawthornrail/internal/operator/settings"
	"hawthornrail.example/hawthornrail/internal/program/home"
	"hawthornrail.example/hawthornrail/internal/program/replica"
	"hawthornrail.example/hawthornrail/internal/vm/fleet"
	"hawthornrail.example/hawthornrail/internal/vm/members"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
)

// processIn are the parts that run for as long as the process does.
type processIn struct {
	dig.In

	Self       hawthornrail.Instance
	Settings   settings.Settings
	Log        events.Logger
	Tracer     *traces.Tracer
	Registry   metrics.Registry
	Controller *controller.Controller
	PeerServer *peer.Server
	PeerClient *peer.Client
	Receiver   *fleet.Receiver
	Home       *home.Home
	Replicas   *replica.Store
	Table      *members.Table
	Prober     *members.Prober
	Poller     *load.Poller
	Callers    *server.Server
}

// process is the running entry VM.
type process struct {
	in       processIn
	operator *api.Server
	drain    context.CancelFunc
	drained  context.Context
	failed   chan error
	wait     sync.WaitGroup
}

func newProcess(in processIn) *process {
	p := &process{in: in, failed: make(chan error, 4)}
	p.drained, p.drain = context.WithCancel(context.Background())
	p.operator = api.New(p.status, p.drain, in.Registry)
	return p
}

// Run serves until ctx ends or an operator drains the VM; then it shuts down
// gracefully within the limit of the settings.
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
	s := api.StatusOf(p.in.Self, p.in.Controller)
	s.Programs, s.LivePrograms = p.in.Home.Count()
	s.Replicas = p.in.Replicas.Count()
	s.Leaving = p.drained.Err() != nil
	return s
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
	case <-p.drained.Done():
	case failure = <-p.failed:
		p.in.Log.Event(events.ListenerFailed).Err(failure).Emit()
	}
	p.drain()
	p.in.Table.Leave()
	p.shutdown()
	stop()
	p.wait.Wait()
	p.in.Log.Event(events.ProcessStopped).Emit()
	return failure
}

func (p *process) listen(ctx context.Context) error {
	if _, err := p.in.PeerServer.Listen(p.in.Settings.PeerAddress()); err != nil {
		return err
	}
	callers, err := net.Listen("tcp", p.in.Settings.CallerAddress())
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := net.Listen("tcp", p.in.Settings.OperatorAddress())
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	p.start(func() error { p.in.Controller.Run(ctx); return nil })
	p.start(func() error { p.in.Prober.Run(ctx); return nil })
	p.start(func() error { p.in.Poller.Run(ctx); return nil })
	p.start(func() error { return p.in.PeerServer.Serve(p.in.Receiver.Handle) })
	p.start(func() error { return p.in.Callers.Serve(callers) })
	p.start(func() error { return p.operator.Serve(operators) })
	return nil
}

func (p *process) start(f func() error) {
	p.wait.Add(1)
	go func() {
		defer p.wait.Done()
		if err := f(); err != nil {
			p.failed <- err
		}
	}()
}

// shutdown lets callers' requests end before the parts they need stop.
func (p *process) shutdown() {
	p.in.Log.Event(events.ProcessStopping).Int("requests", p.in.Callers.UnderWay()).Emit()
	ctx, cancel := context.WithTimeout(context.Background(), p.in.Settings.DrainTimeout())
	defer cancel()
	if err := p.in.Callers.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		p.in.Log.Event(events.DrainTimedOut).Int("requests", p.in.Callers.UnderWay()).Emit()
	}
	_ = p.operator.Close()
	p.in.PeerServer.Close()
	p.in.PeerClient.Close()
	_ = p.in.Tracer.Close(ctx)
}
