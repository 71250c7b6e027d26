package client

import (
	"math/rand/v2"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/handoff"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/policy/placement"
	"hawthornrail.example/hawthornrail/internal/vm/monitor"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
)

// The shortest retry delays of a request whose chain can't be loaded, and of one whose turn
// can't be made durable, which lasts until VMs are back. A random part is added so that
// callers do not retry at the same time.
const (
	minRetryAfter       = 200 * time.Millisecond
	minOutageRetryAfter = 500 * time.Millisecond
)

// Dependencies are the dependencies of a Client.
type Dependencies struct {
	DataCentre string
	// DataCentres are all data centres, each of which has a VM with a disk.
	DataCentres []string
	// ToleratedDiskLosses is how many disks may be lost at once without a loss of turns.
	ToleratedDiskLosses int
	// Handoff keeps the turns that too few disks can store.
	Handoff   *handoff.Handoff
	Config    hawthornrail.Configuration
	Freshness hawthornrail.ConfigFreshness
	Invoker   peer.Invoker
	Clock     hawthornrail.Clock
	Log       events.Logger
	Metrics   *metrics.Conversations
	// BackgroundBytes bounds the turns that are still saved after their response has
	// ended.
	BackgroundBytes int64
}

// Client loads and saves turns at the VMs with a disk; it implements
// hawthornrail.Conversations.
type Client struct {
	deps    Dependencies
	monitor *monitor.Monitor
	// laggards reply and did not store a turn in time, since their disk is slow or hangs;
	// full have no room for further turns.
	laggards *avoided
	full     *avoided

	// parts has an element for each part of a chain that is received.
	parts chan struct{}

	mu         sync.Mutex
	background int64
}

// New returns a client with the given dependencies.
func New(deps Dependencies) *Client {
	c := &Client{deps: deps, laggards: newAvoided(), full: newAvoided(), parts: make(chan struct{}, maxParts)}
	c.monitor = monitor.New(monitor.Dependencies{
		Invoker: deps.Invoker, Clock: deps.Clock, Current: c.isListed, Unresponsive: c.logUnresponsive, Responsive: c.logResponsive,
	})
	return c
}

// Available returns a Failure if a turn with an input of a size in bytes can't be made durable
// now: too few VMs with a disk store turns, and the platform's store keeps none. Disks that
// are full are not made up for by the platform's store, which has to be emptied onto them.
func (c *Client) Available(inputBytes int64) error {
	n := c.count()
	switch {
	case n.responding == 0:
		err := hawthornrail.NotRun(hawthornrail.CodeTurnUncertain, "no VM with a disk responds")
		return err.WithRetryAfter(jittered(minOutageRetryAfter))
	case n.able >= c.requiredCopies():
		return nil
	case n.full > 0:
		err := hawthornrail.NotRun(hawthornrail.CodeOverload, "%d VMs with a disk have no room for turns until others expire", n.full)
		return err.WithRetryAfter(n.roomAfter + jittered(minOutageRetryAfter))
	case c.deps.Handoff.Usable(inputBytes):
		return nil
	default:
		err := hawthornrail.NotRun(hawthornrail.CodeTurnUncertain, "%d VMs with a disk store turns, %d are needed, and the platform's store keeps none", n.able, c.requiredCopies())
		return err.WithRetryAfter(jittered(minOutageRetryAfter))
	}
}

func (c *Client) requiredCopies() int { return placement.Copies(c.deps.ToleratedDiskLosses) }

// order returns the VMs that get a turn with a placement key, in the order in which they are
// preferred.
func (c *Client) order(key string) []hawthornrail.VM {
	return orderFor(c.deps.Config.Snapshot().DiskVMs(), key, c.monitor.Suspected, c.avoids)
}

// avoids reports whether the VM at an address lags or is full.
func (c *Client) avoids(address string) bool {
	now := c.deps.Clock.Now()
	return c.laggards.left(address, now) > 0 || c.full.left(address, now) > 0
}

// vmCount counts the VMs with a disk.
type vmCount struct {
	// responding are not suspected to be down. Of these, able store turns in time and full
	// have no room; the first of the full ones has room after roomAfter.
	responding, able, full int
	roomAfter              time.Duration
}

func (c *Client) count() vmCount {
	var n vmCount
	now := c.deps.Clock.Now()
	for _, vm := range c.deps.Config.Snapshot().DiskVMs() {
		if c.monitor.Suspected(vm.Address()) {
			continue
		}
		n.responding++
		switch left := c.full.left(vm.Address(), now); {
		case left > 0 && (n.full == 0 || left < n.roomAfter):
			n.full++
			n.roomAfter = left
		case left > 0:
			n.full++
		case c.laggards.left(vm.Address(), now) == 0:
			n.able++
		}
	}
	return n
}

// scarce reports whether too few VMs store turns in time.
func (c *Client) scarce() bool { return c.count().able < c.requiredCopies() }

// recordSaved records what the reply of a VM says of its disk.
func (c *Client) recordSaved(r saveReply) {
	now := c.deps.Clock.Now()
	address := r.vm.Address()
	if r.saved && r.took <= releaseDelay {
		c.laggards.remove(address)
	} else if !r.full {
		c.laggards.add(address, now.Add(laggardPause))
	}
	if r.full {
		c.full.add(address, now.Add(max(r.roomAfter, laggardPause)))
	} else if r.saved {
		c.full.remove(address)
	}
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

// jittered returns a delay of at least d and less than twice that.
func jittered(d time.Duration) time.Duration { return d + rand.N(d) }
