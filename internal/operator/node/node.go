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
	"hawthornrail.example/hawthornrail/internal/vm/suspects"
	"hawthornrail.example/hawthornrail/internal/vm/unlisted"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// memoryLimitFraction is the fraction of the memory limit that is set as
	// the soft limit of the Go runtime, near which garbage is collected more
	// often.
	memoryLimitFraction = 0.8
	// gcPercent is the growth of the heap, in percent, at which garbage is
	// collected. It is low because a VM has far more spare processor time than
	// spare memory.
	gcPercent = 50
	// registerRetryInterval is the time between attempts to register the VM.
	registerRetryInterval = 500 * time.Millisecond
	// expireMargin is added to the settling time, so that it has passed when
	// lapsed endpoints are removed.
	expireMargin = 10 * time.Millisecond
	// logFlushTimeout bounds how long the process waits until its last log lines
	// are written.
	logFlushTimeout = 200 * time.Millisecond
)

// Adapter holds the interfaces to the platform.
type Adapter struct {
	Source    hawthornrail.ObjectSource
	Registry  hawthornrail.VMRegistry
	Claims    hawthornrail.Claims
	ClaimList hawthornrail.ClaimList
	Keeper    hawthornrail.TurnKeeper
	Decoder   hawthornrail.ObjectDecoder
	Callers   hawthornrail.CallerCodec
	Endpoints hawthornrail.EndpointCodec
	// Kinds names the kinds of object that Decoder decodes.
	Kinds Kinds
	// ReadyPath is the path of the load balancer's readiness checks.
	ReadyPath string
	// Dialer connects to VMs, endpoints and the platform.
	Dialer hawthornrail.Dialer
}

// Kinds holds the names of the kinds of the platform's objects.
type Kinds struct {
	Config    string
	Endpoints string
	VMs       string
	// Evacuations is mirrored only if the settings say how long an evacuation may take.
	Evacuations string
}

// Node is the part that all kinds of process have in common.
type Node struct {
	settings machine.Settings
	adapter  Adapter
	clock    hawthornrail.Clock
	logSink  *sink.Sink
	log      events.Logger
	registry gometrics.Registry
	tasks    *metrics.Tasks

	mirror      *mirror.Mirror
	storeHealth *mirror.StoreHealth
	watchRole   *mirror.WatchRole
	freshness   *mirror.Freshness
	follower    *mirror.Follower
	exchange    *mirror.Exchange
	subscriber  *mirror.Subscriber
	catalogue   *catalogue.Catalogue
	unlisted    *unlisted.Table
	server      *peer.Server
	client      *peer.Client
	relay       *relay.Client
	rates       *rate.Limiter
	suspects    *suspects.Controller
	kinds       []string

	background context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup
	failures   chan error

	seedsMu sync.Mutex
	seeds   []string
}

// New returns the common part of a process that has the given name among the
// VMs and mirrors the given kinds of objects.
func New(s machine.Settings, a Adapter, name string, kinds []string) *Node {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes())))
	n := &Node{settings: s, adapter: a, clock: clock.Real(), registry: gometrics.NewRegistry(), kinds: kinds, failures: make(chan error, 4), seeds: s.Seeds()}
	n.background, n.cancel = context.WithCancel(context.Background())
	n.tasks = metrics.NewTasks(n.registry)
	n.logSink = sink.New(os.Stdout, n.clock, sink.DefaultLimits())
	n.log = events.NewLogger(n.logSink, zerolog.InfoLevel).With("vm", s.VM())
	self := hawthornrail.NewInstance(name, s.DataCentre(), uint64(n.clock.Now().UnixMilli()))
	n.client = peer.NewClient(self, nil, nil, n.clock, a.Dialer)
	n.server = peer.NewServer(self, nil, nil, n.clock, n.log.Layer("peer"))
	n.mirror = mirror.New(n.applyObjects)
	n.storeHealth = mirror.NewStoreHealth(s.DataCentre(), s.ConfigInForce())
	bounded := n.boundedKinds()
	for kind, inForce := range bounded {
		n.storeHealth.RequireKind(kind, inForce)
	}
	n.freshness = mirror.NewFreshness(n.storeHealth, n.clock)
	n.watchRole = mirror.NewWatchRole()
	n.follower = mirror.NewFollower(mirror.FollowerDependencies{
		Mirror: n.mirror, StoreHealth: n.storeHealth, WatchRole: n.watchRole, HeartbeatKind: a.Kinds.Config, InForce: s.ConfigInForce(), BoundedKinds: bounded,
		Source: a.Source, Clock: n.clock, Log: n.log.Layer("config"),
	})
	n.catalogue = catalogue.New(n.clock, n.storeHealth.LastConfirmed)
	n.unlisted = unlisted.NewTable(n.clock, n.applyUnlisted)
	n.exchange = mirror.NewExchange(mirror.ExchangeDependencies{
		Mirror: n.mirror, StoreHealth: n.storeHealth, WatchRole: n.watchRole, Kinds: kinds, Peers: n.peers, Unlisted: n.unlisted,
		Invoker: n.client, Clock: n.clock,
	})
	n.subscriber = mirror.NewSubscriber(n.watchRole, n.exchange, n.storeHealth, n.clock, n.log.Layer("config"))
	table := members.NewTable(hawthornrail.NewMember(self, s.PeerAddress(), false, time.Time{}))
	n.relay = relay.NewClient(n.client, n.peers, n.clock)
	n.suspects = suspects.New(suspects.Dependencies{
		VM: s.VM(), Config: n.catalogue, Address: s.PeerAddress(), Peers: n.peers, Direct: n.client, Relay: n.relay,
		Clock: n.clock, Log: n.log.Layer("endpoint"), Registry: n.registry,
	})
	n.rates = rate.NewLimiter(self, n.catalogue, table, rate.NewClient(n.relay), n.clock)
	return n
}

// boundedKinds returns the mirrored kinds besides the configuration whose changes have
// to be in force within a time.
func (n *Node) boundedKinds() map[string]time.Duration {
	kind, inForce := n.adapter.Kinds.Evacuations, n.settings.EvacuationsInForce()
	if inForce == 0 || !slices.Contains(n.kinds, kind) {
		return nil
	}
	return map[string]time.Duration{kind: inForce}
}

// applyObjects applies changed objects of the platform.
func (n *Node) applyObjects(kind, source string, revision uint64, objects []hawthornrail.Object) {
	switch kind {
	case n.adapter.Kinds.Config:
		n.applyConfig(source, objects)
	case n.adapter.Kinds.Endpoints:
		endpoints, problems := n.adapter.Decoder.Endpoints(objects)
		n.logMalformed(problems)
		lapsed := n.catalogue.SetEndpoints(endpoints, n.storeHealth.Settling(n.clock.Now()))
		n.log.Event(events.EndpointsChanged).Int("endpoints", len(endpoints)).Int("lapsed", lapsed).Emit()
		if lapsed > 0 {
			n.Loop(n.expireEndpoints)
		}
	case n.adapter.Kinds.VMs:
		vms, diskVMs, problems := n.adapter.Decoder.VMs(objects)
		n.logMalformed(problems)
		n.catalogue.SetVMs(n.addMissingHolders(vms), diskVMs)
		n.unlisted.SetListed(vms)
		n.watchRole.SetPredecessors(n.precedingWatchers(vms), n.clock.Now())
		n.log.Event(events.VMsChanged).Int("vms", len(vms)).Emit()
	case n.adapter.Kinds.Evacuations:
		n.applyEvacuations(source, revision, objects)
	}
}

// applyUnlisted applies changed VMs that serve callers although the platform does not list them.
func (n *Node) applyUnlisted(vms []hawthornrail.VM) {
	n.catalogue.SetUnlistedVMs(vms)
	n.log.Event(events.UnlistedVMsChanged).Int("vms", len(vms)).Emit()
}

// applyEvacuations puts evacuations in force and logs which begin and end.
func (n *Node) applyEvacuations(source string, revision uint64, objects []hawthornrail.Object) {
	list, problems := n.adapter.Decoder.Evacuations(objects)
	n.logMalformed(problems)
	before, now := n.catalogue.SetEvacuations(list, revision)
	for _, e := range now.InForce() {
		if !before.Evacuated(e.DataCentre()) {
			n.log.Event(events.EvacuationInForce).Str("evacuated", e.DataCentre()).Uint64("revision", e.Revision()).Str("source", source).
				Millis("age_ms", n.catalogue.Age()).Emit()
		}
	}
	for _, e := range before.InForce() {
		if !now.Evacuated(e.DataCentre()) {
			n.log.Event(events.EvacuationEnded).Str("evacuated", e.DataCentre()).Uint64("revision", revision).Str("source", source).
				Millis("age_ms", n.catalogue.Age()).Emit()
		}
	}
}

// expireEndpoints removes lapsed endpoints that are not registered again within
// the settling time.
func (n *Node) expireEndpoints(ctx context.Context) {
	wait := n.storeHealth.Settling(n.clock.Now())
	if !clock.Wait(ctx, n.clock, wait+expireMargin) {
		return
	}
	remaining := n.catalogue.Expire()
	n.log.Event(events.EndpointsExpired).Int("lapsed", remaining).Emit()
}

func (n *Node) applyConfig(source string, objects []hawthornrail.Object) {
	config, ok, err := n.adapter.Decoder.Config(objects)
	if err != nil {
		// The previous configuration stays in force.
		n.logMalformed([]error{err})
		return
	}
	if ok && n.catalogue.Accept(config) {
		for _, err := range config.Problems() {
			n.log.Event(events.ConfigValueReplaced).Uint64("version", config.Version()).Err(err).Emit()
		}
		n.log.Event(events.ConfigChanged).Uint64("version", config.Version()).
			Int("routes", len(config.Routes())).Int("teams", len(config.Deployments())).
			Str("source", source).Millis("age_ms", n.catalogue.Age()).Emit()
	}
}

// precedingWatchers returns the addresses of the entry VMs of this data centre
// that come before this VM in the order in which VMs watch the store, sorted by
// name. A holder comes after all entry VMs.
func (n *Node) precedingWatchers(vms []hawthornrail.VM) []string {
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

// addMissingHolders adds an entry for each data centre whose holder is not known
// yet, because the rates are divided among all data centres from the start.
func (n *Node) addMissingHolders(vms []hawthornrail.VM) []hawthornrail.VM {
	known := make(map[string]bool, len(vms))
	for _, v := range vms {
		known[v.Name()] = true
	}
	for _, dc := range n.settings.DataCentres() {
		if !known[dc] {
			vms = append(vms, hawthornrail.NewVM(dc, dc, "", false).WithBorrowers())
		}
	}
	return vms
}

func (n *Node) logMalformed(problems []error) {
	for _, err := range problems {
		n.log.Event(events.ObjectMalformed).Err(err).Emit()
	}
}

// peers returns the addresses of the other entry VMs, and those of the seeds while no entry VM
// is listed: the VMs that tell of each other may not know all others.
func (n *Node) peers() []string {
	var addresses []string
	anyListed := false
	for _, v := range n.catalogue.Snapshot().EntryVMs() {
		if v.Address() == n.settings.PeerAddress() {
			continue
		}
		addresses = append(addresses, v.Address())
		anyListed = anyListed || !n.unlisted.Contains(v.Name())
	}
	if anyListed {
		return addresses
	}
	n.seedsMu.Lock()
	defer n.seedsMu.Unlock()
	for _, address := range n.seeds {
		if address != n.settings.PeerAddress() && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Settings returns the settings that the process started with.
func (n *Node) Settings() machine.Settings { return n.settings }

// Clock returns the clock of the process.
func (n *Node) Clock() hawthornrail.Clock { return n.clock }

// Log returns the log of the process.
func (n *Node) Log() events.Logger { return n.log }

// SetShed sets what closes a connection that is not needed when the process has no descriptor
// for one of a VM; it must be called before Start.
func (n *Node) SetShed(shed func()) { n.server.SetShed(shed) }

// Output returns the sink that log lines are written to.
func (n *Node) Output() *sink.Sink { return n.logSink }

// Metrics returns the registry of the process's metrics.
func (n *Node) Metrics() gometrics.Registry { return n.registry }

// Config returns the configuration in force.
func (n *Node) Config() *catalogue.Catalogue { return n.catalogue }

// DirectClient returns the client that sends requests to other VMs directly.
func (n *Node) DirectClient() *peer.Client { return n.client }

// RelayClient returns the client that sends requests to other VMs directly or
// through relays.
func (n *Node) RelayClient() *relay.Client { return n.relay }

// Tasks returns the counts and durations of the process's tasks.
func (n *Node) Tasks() *metrics.Tasks { return n.tasks }

// Suspects returns what is known of requests that crash endpoints.
func (n *Node) Suspects() *suspects.Controller { return n.suspects }

// Rates returns the teams' rates.
func (n *Node) Rates() *rate.Limiter { return n.rates }

// Adapter returns the interfaces to the platform.
func (n *Node) Adapter() Adapter { return n.adapter }

// Freshness returns how far the configuration in force can be relied on.
func (n *Node) Freshness() *mirror.Freshness { return n.freshness }

// Ready reports whether a configuration is in force, a holder is known and the
// rates are ready.
func (n *Node) Ready() bool {
	return n.catalogue.Snapshot().Revision() > 0 && n.freshness.Usable() && n.hasHolder() && n.rates.Ready()
}

func (n *Node) hasHolder() bool {
	for _, v := range n.catalogue.Snapshot().VMs() {
		if v.HoldsRates() && v.Address() != "" {
			return true
		}
	}
	return false
}

// Start listens for other VMs and starts the background loops. extra handles the
// messages that only this kind of process supports.
func (n *Node) Start(extra func(ctx context.Context, open *vmpb.Open, s *peer.Stream) bool) error {
	n.log.Event(events.ProcessStarted).Str("data_centre", n.settings.DataCentre()).Str("address", n.settings.PeerAddress()).Emit()
	if _, err := n.server.Listen(n.settings.PeerAddress()); err != nil {
		return err
	}
	handler := func(ctx context.Context, open *vmpb.Open, s *peer.Stream) {
		if n.exchange.Receive(ctx, open, s) || n.rates.Receive(open, s) || n.suspects.Receive(open, s) {
			return
		}
		extra(ctx, open, s)
	}
	n.Go(func(context.Context) error {
		return n.server.Serve(n.countRequests(func(ctx context.Context, open *vmpb.Open, s *peer.Stream) {
			if !n.relay.Receive(ctx, open, s, handler) {
				handler(ctx, open, s)
			}
		}))
	})
	for _, kind := range n.kinds {
		n.Loop(func(ctx context.Context) { n.follower.Follow(ctx, kind) })
	}
	n.Loop(n.exchange.Run)
	n.Loop(n.subscriber.ExpireSources)
	for slot := range mirror.FollowedVMs {
		n.Loop(func(ctx context.Context) { n.subscriber.Run(ctx, slot) })
	}
	n.Loop(n.rates.Run)
	n.Loop(n.suspects.Run)
	n.Loop(n.reload)
	n.Loop(n.reportWork)
	return n.serveMetrics()
}

// Loop runs f in the background; its context is cancelled when the process
// stops.
func (n *Node) Loop(f func(ctx context.Context)) {
	n.Go(func(ctx context.Context) error {
		f(ctx)
		return nil
	})
}

// Go runs f in the background; an error that it returns stops the process.
func (n *Node) Go(f func(ctx context.Context) error) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		if err := f(n.background); err != nil && n.background.Err() == nil {
			n.failures <- err
		}
	}()
}

// Wait waits until ctx is done or a background function fails, and returns the
// error of the latter.
func (n *Node) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-n.failures:
		n.log.Event(events.ListenerFailed).Err(err).Emit()
		return err
	}
}

// reload reads the settings again on SIGHUP. Only the seed addresses can change
// in a running process.
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
		n.seedsMu.Lock()
		n.seeds = s.Seeds()
		n.seedsMu.Unlock()
		n.log.Event(events.SettingsReloaded).Int("seeds", len(s.Seeds())).Emit()
	}
}

// Register registers the VM with the platform and retries until it succeeds. Other VMs are told
// of it until the platform lists it.
func (n *Node) Register(ctx context.Context, vm hawthornrail.VM) {
	n.unlisted.Announce(vm)
	for ctx.Err() == nil {
		err := n.adapter.Registry.Register(ctx, vm)
		if err == nil {
			n.log.Event(events.VMRegistered).Str("address", vm.Address()).Emit()
			return
		}
		n.log.Event(events.RegisterFailed).Err(err).Emit()
		clock.Wait(ctx, n.clock, registerRetryInterval)
	}
}

// Withdraw no longer tells other VMs of this one.
func (n *Node) Withdraw() { n.unlisted.Withdraw() }

// Stop stops the background loops, closes the connections to other VMs and
// flushes the log.
func (n *Node) Stop() {
	n.cancel()
	n.server.Close()
	n.client.Close()
	n.log.Event(events.ProcessStopped).Emit()
	n.logSink.Close(logFlushTimeout)
}

// ExitError returns the error that a process exits with, which is nil if it was
// stopped by its context.
func ExitError(err error) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return fmt.Errorf("process: %w", err)
}
