package client

import (
	"math/rand/v2"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/vm/monitor"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
)

// minRetryAfter is the shortest retry delay of a request whose chain can't be loaded; a
// random part is added so that callers do not retry at the same time.
const minRetryAfter = 200 * time.Millisecond

// Dependencies are the dependencies of a Client.
type Dependencies struct {
	DataCentre string
	// DataCentres are all data centres, each of which has a VM with a disk.
	DataCentres []string
	// ToleratedDiskLosses is how many disks may be lost at once without a loss of turns.
	ToleratedDiskLosses int
	Config              hawthornrail.Configuration
	Freshness           hawthornrail.ConfigFreshness
	Invoker             peer.Invoker
	Clock               hawthornrail.Clock
	Log                 events.Logger
	Metrics             *metrics.Conversations
	// BackgroundBytes bounds the turns that are still saved after their response has
	// ended.
	BackgroundBytes int64
}

// Client loads and saves turns at the VMs with a disk; it implements
// hawthornrail.Conversations.
type Client struct {
	deps    Dependencies
	monitor *monitor.Monitor

	mu         sync.Mutex
	background int64
}

// New returns a client with the given dependencies.
func New(deps Dependencies) *Client {
	c := &Client{deps: deps}
	c.monitor = monitor.New(monitor.Dependencies{
		Invoker: deps.Invoker, Clock: deps.Clock, Current: c.isListed, Unresponsive: c.logUnresponsive, Responsive: c.logResponsive,
	})
	return c
}

// Available returns a Failure if no VM can store a turn now.
func (c *Client) Available() error {
	for _, vm := range c.deps.Config.Snapshot().DiskVMs() {
		if !c.monitor.Suspected(vm.Address()) {
			return nil
		}
	}
	return hawthornrail.NotRun(hawthornrail.CodeTurnUncertain, "no VM with a disk responds").WithRetryAfter(jitteredRetryAfter())
}

// isListed reports whether a VM with a disk has an address.
func (c *Client) isListed(name, address string) bool {
	for _, vm := range c.deps.Config.Snapshot().DiskVMs() {
		if vm.Name() == name && vm.Address() == address {
			return true
		}
	}
	return false
}

func (c *Client) logUnresponsive(name, address string, err error) {
	c.deps.Log.Event(events.DiskVMUnresponsive).Str("name", name).Str("address", address).Err(err).Emit()
}

func (c *Client) logResponsive(name, address string) {
	c.deps.Log.Event(events.DiskVMResponsive).Str("name", name).Str("address", address).Emit()
}

func jitteredRetryAfter() time.Duration { return minRetryAfter + rand.N(minRetryAfter) }
