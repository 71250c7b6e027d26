package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/catalogue"
	"hawthornrail.example/hawthornrail/internal/config/mirror"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/observe/sink"
	"hawthornrail.example/hawthornrail/internal/operator/machine"
	"hawthornrail.example/hawthornrail/internal/team/rate"
	"hawthornrail.example/hawthornrail/internal/vm/members"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/vm/relay"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// memoryShare is the part of the memory limit from which memory is
	// reclaimed more eagerly.
	memoryShare = 0.8
	// gcPercent is the growth of the heap, in percent, at which garbage is
	// collected; a VM has far more processor time to spare than memory.
	gcPercent = 50
	// registerPause is the time between two tries to list the VM.
	registerPause = 500 * time.Millisecond
	// expireSlack lets what has lapsed end before it is looked for.
	expireSlack = 10 * time.Millisecond
	logTimeout  = 200 * time.Millisecond
)

// Adapter is what speaks to the platform.
type Adapter struct {
	Source    hawthornrail.ObjectSource
	Registry  hawthornrail.VMRegistry
	Claims    hawthornrail.Claims
	Claimed   hawthornrail.ClaimList
	Decoder   hawthornrail.ObjectDecoder
	Callers   hawthornrail.CallerDialect
	Endpoints hawthornrail.EndpointDialect
	// Kinds are the kinds of object that the adapter decodes.
	Kinds Kinds
	// ReadyPath is the path of the balancer's readiness checks.
	ReadyPath string
	// Dialer connects to VMs, endpoints and the platform.
	Dialer hawthornrail.Dialer
}

// Kinds names the kinds of the platform's objects.
type Kinds struct {
	Config    string
	Endpoints string
	VMs       string
}

// Node is the common part of a process.
type Node struct {
	settings machine.Settings
	adapter  Adapter
	clock    hawthornrail.Clock
	out      *sink.Sink
	log      events.Logger
	registry gometrics.Registry
	work     *metrics.Work

	mirror    *mirror.Mirror
	contact   *mirror.Contact
	duty      *mirror.Duty
	follower  *mirror.Follower
	exchange  *mirror.Exchange
	subscribe *mirror.Subscriber
	catalogue *catalogue.Catalogue
	server    *peer.Server
	client    *peer.Client
	relay     *relay.Client
	rates     *rate.Fleet
	kinds     []string

	background context.Context
	cancel     context.CancelFunc
	wait       sync.WaitGroup
	failed     chan error

	seeds sync.Mutex
	seed  []string
}

// New returns the common part of a process that is known to other VMs by a
// name and follows some kinds of objects.
func New(s machine.Settings, a Adapter, name string, kinds []string) *Node {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes())))
	n := &Node{settings: s, adapter: a, clock: clock.Real(), registry: gometrics.NewRegistry(), kinds: kinds, failed: make(chan error, 4), seed: s.Seeds()}
	n.background, n.cancel = context.WithCancel(context.Background())
	n.work = metrics.NewWork(n.registry)
	n.out = sink.New(os.Stdout, n.clock, sink.DefaultLimits())
	n.log = events.NewLogger(n.out, zerolog.InfoLevel).With("vm", s.VM())
	self := hawthornrail.NewInstance(name, s.DataCentre(), uint64(n.clock.Now().UnixMilli()))
	n.client = peer.NewClient(self, nil, nil, n.clock, a.Dialer)
	n.server = peer.NewServer(self, nil, nil, n.clock, n.log.Layer("peer"))
	n.mirror = mirror.New(n.changed)
	n.contact = mirror.NewContact(s.DataCentre())
	n.duty = mirror.NewDuty()
	n.follower = mirror.NewFollower(n.mirror, n.contact, n.duty, a.Source, n.clock, n.log.Layer("config"))
	n.catalogue = catalogue.New(n.clock, n.contact.Last)
	n.exchange = mirror.NewExchange(mirror.ExchangeParts{
		Mirror: n.mirror, Contact: n.contact, Duty: n.duty, Kinds: kinds, Peers: n.peers, Asker: n.client, Clock: n.clock,
	})
	n.subscribe = mirror.NewSubscriber(n.duty, n.exchange, n.contact, n.clock)
	table := members.NewTable(hawthornrail.NewMember(self, s.PeerAddress(), false, time.Time{}))
	n.relay = relay.NewClient(n.client, n.peers, n.clock)
	n.rates = rate.NewFleet(self, n.catalogue, table, rate.NewRemote(n.relay), n.clock)
	return n
}

// changed puts what the platform's objects say in force.
func (n *Node) changed(kind string, objects []hawthornrail.Object) {
	switch kind {
	case n.adapter.Kinds.Config:
		n.configChanged(objects)
	case n.adapter.Kinds.Endpoints:
		list, problems := n.adapter.Decoder.Endpoints(objects)
		n.malformed(problems)
		lapsed := n.catalogue.SetEndpoints(list, n.contact.Settling(n.clock.Now()))
		n.log.Event(events.EndpointsChanged).Int("endpoints", len(list)).Int("lapsed", lapsed).Emit()
		if lapsed > 0 {
			n.Loop(n.expire)
		}
	case n.adapter.Kinds.VMs:
		list, problems := n.adapter.Decoder.VMs(objects)
		n.malformed(problems)
		n.catalogue.SetVMs(n.withHolders(list))
		n.duty.SetBefore(n.watchOrder(list), n.clock.Now())
		n.log.Event(events.VMsChanged).Int("vms", len(list)).Emit()
	}
}

// expire drops endpoints that have lapsed and do not come back in time.
func (n *Node) expire(ctx context.Context) {
	wait := n.contact.Settling(n.clock.Now())
	if !clock.Wait(ctx, n.clock, wait+expireSlack) {
		return
	}
	left := n.catalogue.Expire()
	n.log.Event(events.EndpointsExpired).Int("lapsed", left).Emit()
}

func (n *Node) configChanged(objects []hawthornrail.Object) {
	config, ok, err := n.adapter.Decoder.Config(objects)
	if err != nil {
		// What was in force stays so.
		n.malformed([]error{err})
		return
	}
	if ok && n.catalogue.Accept(config) {
		n.log.Event(events.ConfigChanged).Uint64("version", config.Version()).
			Int("routes", len(config.Routes())).Int("teams", len(config.Deployments())).Emit()
	}
}

// watchOrder returns the addresses of the entry VMs of the own data centre that
// watch the store before this VM does; a holder comes after all of them.
func (n *Node) watchOrder(vms []hawthornrail.VM) []string {
	var before []hawthornrail.VM
	own := n.settings.VM()
	for _, v := range vms {
		if v.HoldsRates() || v.DataCentre() != n.settings.DataCentre() || v.Address() == n.settings.PeerAddress() {
			continue
		}
		if n.settings.Folder() != "" || v.Name() < own {
			before = append(before, v)
		}
	}
	slices.SortFunc(before, func(a, b hawthornrail.VM) int { return cmp.Compare(a.Name(), b.Name()) })
	addresses := make([]string, 0, len(before))
	for _, v := range before {
		addresses = append(addresses, v.Address())
	}
	return addresses
}

// withHolders adds the data centres whose holder is not known yet: the rates
// are divided over all of them from the start.
func (n *Node) withHolders(vms []hawthornrail.VM) []hawthornrail.VM {
	known := make(map[string]bool, len(vms))
	for _, v := range vms {
		known[v.Name()] = true
	}
	for _, dc := range n.settings.DataCentres() {
		if !known[dc] {
			vms = append(vms, hawthornrail.NewVM(dc, dc, "", false).HoldingForOthers())
		}
	}
	return vms
}

func (n *Node) malformed(problems []error) {
	for _, err := range problems {
		n.log.Event(events.ObjectMalformed).Err(err).Emit()
	}
}

// peers returns the addresses of other VMs to ask for changes.
func (n *Node) peers() []string {
	var list []string
	for _, v := range n.catalogue.Snapshot().VMs() {
		if v.Address() != "" && v.Address() != n.settings.PeerAddress() && !v.HoldsRates() {
			list = append(list, v.Address())
		}
	}
	if len(list) > 0 {
		return list
	}
	n.seeds.Lock()
	defer n.seeds.Unlock()
	for _, address := range n.seed {
		if address != n.settings.PeerAddress() {
			list = append(list, address)
		}
	}
	return list
}

// Settings returns the settings that the process started with.
func (n *Node) Settings() machine.Settings { return n.settings }

// Clock returns the clock of the process.
func (n *Node) Clock() hawthornrail.Clock { return n.clock }

// Log returns the log of the process.
func (n *Node) Log() events.Logger { return n.log }

// Output returns where log lines go.
func (n *Node) Output() *sink.Sink { return n.out }

// Metrics returns the registry of the process's metrics.
func (n *Node) Metrics() gometrics.Registry { return n.registry }

// Config returns the configuration in force.
func (n *Node) Config() *catalogue.Catalogue { return n.catalogue }

// Direct returns the client to other VMs without any in between.
func (n *Node) Direct() *peer.Client { return n.client }

// Client returns the client to other VMs that also reaches them through
// others.
func (n *Node) Client() *relay.Client { return n.relay }

// Work returns the counters of the process's work.
func (n *Node) Work() *metrics.Work { return n.work }

// Rates returns the teams' rates.
func (n *Node) Rates() *rate.Fleet { return n.rates }

// Adapter returns what speaks to the platform.
func (n *Node) Adapter() Adapter { return n.adapter }

// Ready reports whether the configuration and a holder are known and the rates
// may be used.
func (n *Node) Ready() bool {
	return n.catalogue.Snapshot().Revision() > 0 && n.holderKnown() && n.rates.Ready()
}

func (n *Node) holderKnown() bool {
	for _, v := range n.catalogue.Snapshot().VMs() {
		if v.HoldsRates() && v.Address() != "" {
			return true
		}
	}
	return false
}

// Start listens for other VMs and starts the loops that keep the state; extra
// serves the messages that only this kind of process knows.
func (n *Node) Start(extra func(ctx context.Context, open *vmpb.Open, s *peer.Stream) bool) error {
	n.log.Event(events.ProcessStarted).Str("data_centre", n.settings.DataCentre()).Str("address", n.settings.PeerAddress()).Emit()
	if _, err := n.server.Listen(n.settings.PeerAddress()); err != nil {
		return err
	}
	handler := func(ctx context.Context, open *vmpb.Open, s *peer.Stream) {
		if n.exchange.Receive(ctx, open, s) || n.rates.Receive(open, s) {
			return
		}
		extra(ctx, open, s)
	}
	n.Go(func(context.Context) error {
		return n.server.Serve(n.counted(func(ctx context.Context, open *vmpb.Open, s *peer.Stream) {
			if !n.relay.Receive(ctx, open, s, handler) {
				handler(ctx, open, s)
			}
		}))
	})
	for _, kind := range n.kinds {
		n.Loop(func(ctx context.Context) { n.follower.Follow(ctx, kind) })
	}
	n.Loop(n.exchange.Run)
	for place := range mirror.FollowedVMs {
		n.Loop(func(ctx context.Context) { n.subscribe.Run(ctx, place) })
	}
	n.Loop(n.rates.Run)
	n.Loop(n.reload)
	n.Loop(n.tellWork)
	return n.serveMetrics()
}

// Loop runs f in the background until the process ends.
func (n *Node) Loop(f func(ctx context.Context)) {
	n.Go(func(ctx context.Context) error {
		f(ctx)
		return nil
	})
}

// Go runs f in the background; its error ends the process.
func (n *Node) Go(f func(ctx context.Context) error) {
	n.wait.Add(1)
	go func() {
		defer n.wait.Done()
		if err := f(n.background); err != nil && n.background.Err() == nil {
			n.failed <- err
		}
	}()
}

// AwaitEnd waits until ctx ends or a part of the process fails, and returns
// the failure.
func (n *Node) AwaitEnd(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-n.failed:
		n.log.Event(events.ListenerFailed).Err(err).Emit()
		return err
	}
}

// reload reads the settings again when the operator says that they changed;
// only the addresses to start from can change in a running process.
func (n *Node) reload(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		s, err := n.settings.Reload()
		if err != nil {
			n.log.Event(events.ReloadFailed).Err(err).Emit()
			continue
		}
		n.seeds.Lock()
		n.seed = s.Seeds()
		n.seeds.Unlock()
		n.log.Event(events.SettingsReloaded).Int("seeds", len(s.Seeds())).Emit()
	}
}

// Register lists the VM, again until it succeeds.
func (n *Node) Register(ctx context.Context, vm hawthornrail.VM) {
	for ctx.Err() == nil {
		err := n.adapter.Registry.Register(ctx, vm)
		if err == nil {
			n.log.Event(events.VMRegistered).Str("address", vm.Address()).Emit()
			return
		}
		n.log.Event(events.RegisterFailed).Err(err).Emit()
		clock.Wait(ctx, n.clock, registerPause)
	}
}

// Stop ends the loops and closes the connections to other VMs.
func (n *Node) Stop() {
	n.cancel()
	n.server.Close()
	n.client.Close()
	n.log.Event(events.ProcessStopped).Emit()
	n.out.Close(logTimeout)
}

// Outcome returns the error of a process that ended by itself.
func Outcome(err error) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return fmt.Errorf("process: %w", err)
}
