package holder

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/replica"
	"hawthornrail.example/hawthornrail/internal/conversation/store"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/operator/node"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// conversationsFolder is the folder of the store below the disk folder.
	conversationsFolder = "conversations"
	// checkInterval is the interval at which the configuration is checked for
	// conversations, and retryInterval that at which a failed step is retried.
	checkInterval = 250 * time.Millisecond
	retryInterval = time.Second
	// listedInterval is the interval at which a VM checks that it is listed. A change of the
	// list arrives well within it.
	listedInterval = 5 * time.Second
)

// errStopped means that the process has begun to stop.
var errStopped = errors.New("process stops")

// conversations stores turns once the configuration has conversations.
type conversations struct {
	node *node.Node

	mu      sync.Mutex
	store   *store.Store
	replica *replica.Replica
	closed  bool
}

func newConversations(n *node.Node) *conversations { return &conversations{node: n} }

// run opens the store and repairs its copies until ctx ends. A store of an earlier run is
// opened at once: its turns are served even if no configuration arrives.
func (c *conversations) run(ctx context.Context) {
	if !c.hasFolder() && !c.awaitConfig(ctx) {
		return
	}
	for err := c.open(); err != nil; err = c.open() {
		if errors.Is(err, errStopped) {
			return
		}
		c.node.Log().Event(events.TurnStoreFailed).Err(err).Emit()
		if !clock.Wait(ctx, c.node.Clock(), retryInterval) {
			return
		}
	}
	if !c.awaitConfig(ctx) {
		return
	}
	// A VM that is listed already repairs its copies while the platform does not respond.
	c.node.Loop(c.stayListed)
	c.replica.Run(ctx)
}

func (c *conversations) folder() string {
	return filepath.Join(c.node.Settings().Folder(), conversationsFolder)
}

func (c *conversations) hasFolder() bool {
	_, err := os.Stat(c.folder())
	return err == nil
}

// awaitConfig waits until the configuration has conversations.
func (c *conversations) awaitConfig(ctx context.Context) bool {
	for !c.node.Config().Snapshot().HasConversations() {
		if !clock.Wait(ctx, c.node.Clock(), checkInterval) {
			return false
		}
	}
	return true
}

// open opens the store and lets it serve other VMs. Reading a large log takes a while, in
// which requests are declined.
func (c *conversations) open() error {
	n := c.node
	s, err := store.Open(store.Options{
		Folder: c.folder(), LimitBytes: n.Settings().ConversationBytes(), Clock: n.Clock(), Disk: store.NewDisk(),
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errors.Join(errStopped, s.Close())
	}
	c.store = s
	c.replica = replica.New(replica.Dependencies{
		Address: n.Settings().PeerAddress(), ToleratedLosses: n.Settings().ToleratedDiskLosses(),
		CatchUp: n.Settings().CatchUp(), LinkBytesPerSecond: n.Settings().LinkBytesPerSecond(), Store: s, Keeper: n.Adapter().Keeper, Config: n.Config(), Invoker: n.DirectClient(),
		Clock: n.Clock(), Log: n.Log().Layer("conversation"),
	})
	stats := s.Stats()
	n.Log().Event(events.TurnStoreOpened).Int("turns", stats.Turns()).Int("bytes", int(stats.Bytes())).Uint64("epoch", s.Epoch()).Emit()
	c.registerMetrics()
	return nil
}

// registerMetrics registers the gauges of the store and the repair.
func (c *conversations) registerMetrics() {
	s, r, registry := c.store, c.replica, c.node.Metrics()
	metrics.Gauge(registry, "conversations.turns", func() int64 { return int64(s.Stats().Turns()) })
	metrics.Gauge(registry, "conversations.bytes", func() int64 { return s.Stats().Bytes() })
	metrics.Gauge(registry, "conversations.copies_missing", func() int64 { return int64(r.Stats().Missing()) })
	metrics.Gauge(registry, "conversations.repair_backlog_vms", func() int64 { return int64(r.Stats().Backlog()) })
	metrics.Gauge(registry, "conversations.oldest_missing_ms", func() int64 { return r.Stats().Oldest().Milliseconds() })
	metrics.Gauge(registry, "conversations.repair_left_ms", func() int64 { return r.Stats().Left().Milliseconds() })
	metrics.Gauge(registry, "conversations.kept_in_store", func() int64 { return r.Stats().Kept() })
	metrics.Gauge(registry, "conversations.repaired", func() int64 { return r.Stats().Repaired() })
}

// stayListed lists this VM among those that store turns, until ctx ends.
func (c *conversations) stayListed(ctx context.Context) {
	s := c.node.Settings()
	own := hawthornrail.NewVM(s.VM(), s.DataCentre(), s.PeerAddress(), false)
	for ctx.Err() == nil {
		pause := listedInterval
		if !slices.Contains(c.node.Config().Snapshot().DiskVMs(), own) && !c.register(ctx, own) {
			pause = retryInterval
		}
		clock.Wait(ctx, c.node.Clock(), pause)
	}
}

// register writes this VM's entry in the list of VMs and reports whether it has.
func (c *conversations) register(ctx context.Context, own hawthornrail.VM) bool {
	if err := c.node.Adapter().Registry.RegisterDisk(ctx, own); err != nil {
		c.node.Log().Event(events.RegisterFailed).Err(err).Emit()
		return false
	}
	c.node.Log().Event(events.VMRegistered).Str("address", own.Address()).Emit()
	return true
}

// Receive serves the requests of other VMs about turns and reports whether open is one. They
// are declined until the store is open.
func (c *conversations) Receive(ctx context.Context, open *vmpb.Open, s *peer.Stream) bool {
	c.mu.Lock()
	r := c.replica
	c.mu.Unlock()
	return r != nil && r.Receive(ctx, open, s)
}

// close closes the store, if it is open, and keeps it closed.
func (c *conversations) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.store == nil {
		return nil
	}
	return c.store.Close()
}
