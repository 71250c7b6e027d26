package suspects

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/policy/quarantine"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// reportDelay is how long a change waits for others to be reported with it: all
	// requests that an endpoint had end at about the same time.
	reportDelay = 10 * time.Millisecond
	// compareInterval is the mean time between two reports that a VM with suspects
	// sends to one other VM, to find what either has missed.
	compareInterval = 500 * time.Millisecond
	// learnInterval is the interval at which a VM that has started looks for the
	// list of VMs, and maxLearnFrom how many entry VMs it asks beside the holders.
	learnInterval = 50 * time.Millisecond
	maxLearnFrom  = 2
	// reportTimeout bounds one report.
	reportTimeout = time.Second
)

// Run reports changes to all VMs, and compares with one VM after the other, until
// ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var pending sync.WaitGroup
	defer pending.Wait()
	pending.Go(func() { c.learn(ctx) })
	pending.Go(func() { c.compareWithPeers(ctx) })
	pending.Go(func() { c.explainLosses(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
		}
		if !clock.Wait(ctx, c.deps.Clock, reportDelay) {
			return
		}
		report := c.takeUnreported()
		if len(report) == 0 {
			// The previous report had the change already.
			continue
		}
		for _, address := range c.allVMs() {
			// A VM that misses a report is compared with at its next turn.
			pending.Go(func() { _, _ = c.send(ctx, address, report) })
		}
	}
}

// learn compares with the holders and some entry VMs as soon as this VM knows the
// list of VMs. The holders know of suspects if all entry VMs have restarted.
func (c *Controller) learn(ctx context.Context) {
	for !c.knowsVMs() {
		if !clock.Wait(ctx, c.deps.Clock, learnInterval) {
			return
		}
	}
	peers := c.deps.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var pending sync.WaitGroup
	for _, address := range append(c.holders(), peers[:min(len(peers), maxLearnFrom)]...) {
		pending.Go(func() { c.compareWith(ctx, address) })
	}
	pending.Wait()
}

func (c *Controller) knowsVMs() bool {
	return slices.ContainsFunc(c.deps.Config.Snapshot().VMs(), func(v hawthornrail.VM) bool { return v.Address() != "" })
}

// holders returns the addresses of the other holders of rates and budgets. They
// send no requests to endpoints, but remember suspects for the entry VMs.
func (c *Controller) holders() []string {
	var addresses []string
	for _, v := range c.deps.Config.Snapshot().VMs() {
		if v.HoldsRates() && v.Address() != "" && v.Address() != c.deps.Address {
			addresses = append(addresses, v.Address())
		}
	}
	return addresses
}

func (c *Controller) allVMs() []string { return append(c.deps.Peers(), c.holders()...) }

// compareWithPeers sends this VM's fingerprint to the other VMs in turn while it
// has suspects. A VM that has restarted or was partitioned learns of them so.
func (c *Controller) compareWithPeers(ctx context.Context) {
	for turn := rand.Int(); clock.Wait(ctx, c.deps.Clock, compareInterval/2+rand.N(compareInterval)); turn++ {
		vms := c.allVMs()
		if len(vms) == 0 || c.empty() {
			continue
		}
		slices.Sort(vms)
		c.compareWith(ctx, vms[turn%len(vms)])
	}
}

func (c *Controller) compareWith(ctx context.Context, address string) {
	fingerprint, err := c.send(ctx, address, nil)
	if err != nil || fingerprint == c.fingerprint() {
		// A VM that does not reply is compared with again at its next turn.
		return
	}
	// The other VM misses something that this one knows.
	_, _ = c.send(ctx, address, c.records())
}

// send reports digests to a VM, merges its reply and returns the VM's
// fingerprint.
func (c *Controller) send(ctx context.Context, address string, records []quarantine.Record) (fingerprint uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report := &vmpb.SuspectReport{Fingerprint: c.fingerprint(), Suspects: recordsToWire(records)}
	var reply vmpb.SuspectReply
	open := &vmpb.Open{Kind: &vmpb.Open_SuspectReport{SuspectReport: report}}
	if _, err := c.deps.Direct.Invoke(ctx, address, open, &reply); err != nil {
		return 0, fmt.Errorf("report suspects to %s: %w", address, err)
	}
	c.merge(recordsFromWire(reply.GetSuspects()))
	return reply.GetFingerprint(), nil
}

// Receive serves the requests of other VMs about suspects and reports whether
// open is one.
func (c *Controller) Receive(open *vmpb.Open, s *peer.Stream) bool {
	switch {
	case open.GetSuspectReport() != nil:
		// A VM that misses the reply compares again.
		_ = s.Send(c.receiveReport(open.GetSuspectReport()))
	case open.GetTrialAsk() != nil:
		// A VM that misses the reply refuses the request.
		_ = s.Send(c.receiveTrialRequest(open.GetTrialAsk()))
	default:
		return false
	}
	return true
}

func (c *Controller) receiveReport(report *vmpb.SuspectReport) *vmpb.SuspectReply {
	c.merge(recordsFromWire(report.GetSuspects()))
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &vmpb.SuspectReply{Fingerprint: c.table.Fingerprint()}
	// A report of single digests is followed by others, after which both agree.
	if len(report.GetSuspects()) == 0 && reply.GetFingerprint() != report.GetFingerprint() {
		reply.Suspects = recordsToWire(c.table.Records(c.deps.Clock.Now()))
	}
	return reply
}

func (c *Controller) merge(records []quarantine.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := make([]int, len(records))
	for i, r := range records {
		before[i] = c.table.Crashes(r.Digest)
	}
	c.table.Merge(records, c.deps.Clock.Now())
	for i, r := range records {
		c.logIfQuarantinedLocked(r.Digest, before[i])
	}
}

func (c *Controller) records() []quarantine.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Records(c.deps.Clock.Now())
}

func (c *Controller) takeUnreported() []quarantine.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var records []quarantine.Record
	for digest := range c.unreported {
		if r, ok := c.table.Record(digest, c.deps.Clock.Now()); ok {
			records = append(records, r)
		}
	}
	c.unreported = make(map[hawthornrail.RequestDigest]bool)
	return records
}

func (c *Controller) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len() == 0
}

func (c *Controller) fingerprint() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Fingerprint()
}
