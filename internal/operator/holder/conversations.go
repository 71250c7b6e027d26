package holder

import (
	"context"
	"errors"
	"os"
	"path/filepath"
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
	if c.awaitConfig(ctx) && c.register(ctx) {
		c.replica.Run(ctx)
	}
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
		RepairBytesPerSecond: replica.DefaultRepairBytesPerSecond, Store: s, Config: n.Config(), Invoker: n.DirectClient(),
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
	metrics.Gauge(registry, "conversations.repaired", func() int64 { return r.Stats().Repaired() })
}

// register lists this VM among those that store turns, and reports whether it did before ctx
// has ended.
func (c *conversations) register(ctx context.Context) bool {
	s := c.node.Settings()
	own := hawthornrail.NewVM(s.VM(), s.DataCentre(), s.PeerAddress(), false)
	for {
		err := c.node.Adapter().Registry.RegisterDisk(ctx, own)
		if err == nil {
			c.node.Log().Event(events.VMRegistered).Str("address", own.Address()).Emit()
			return true
		}
		c.node.Log().Event(events.RegisterFailed).Err(err).Emit()
		if !clock.Wait(ctx, c.node.Clock(), retryInterval) {
			return false
		}
	}
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
