package suspects

import (
	"context"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/quarantine"
	"hawthornrail.example/hawthornrail/internal/vm/ranking"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// trialTimeout bounds the request to one VM that decides on trials.
	trialTimeout = 300 * time.Millisecond
	// maxArbiters bounds the VMs that are asked one after the other if they do not
	// reply.
	maxArbiters = 3
	// noArbiterRetryAfter is the retry delay if none of them replies.
	noArbiterRetryAfter = 2 * time.Second
)

// requestTrial asks the VM that decides on the trials of a digest, so that VMs
// do not start one each. If it does not reply, the next one decides.
func (c *Controller) requestTrial(ctx context.Context, digest hawthornrail.RequestDigest) quarantine.Decision {
	for _, vm := range c.arbiters(digest) {
		if vm.Name() == c.deps.VM {
			return c.startTrial(digest)
		}
		if d, ok := c.requestTrialFrom(ctx, vm, digest); ok {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.table.Defer(digest, c.deps.Clock.Now().Add(d.RetryAfter()))
			return d
		}
	}
	return quarantine.Refused(noArbiterRetryAfter)
}

func (c *Controller) requestTrialFrom(ctx context.Context, vm hawthornrail.VM, digest hawthornrail.RequestDigest) (d quarantine.Decision, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	c.mu.Lock()
	r, _ := c.table.Record(digest, c.deps.Clock.Now())
	c.mu.Unlock()
	open := &vmpb.Open{Kind: &vmpb.Open_TrialAsk{TrialAsk: &vmpb.TrialAsk{Suspect: recordToWire(r)}}}
	var reply vmpb.TrialReply
	if _, err := c.deps.Relay.Invoke(ctx, vm.Address(), open, &reply); err != nil {
		return quarantine.Decision{}, false
	}
	if reply.GetGranted() {
		return quarantine.Decision{}, true
	}
	return quarantine.Refused(max(time.Millisecond, milliseconds(reply.GetRetryAfterMs()))), true
}

func (c *Controller) startTrial(digest hawthornrail.RequestDigest) quarantine.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.StartTrial(digest, c.deps.Clock.Now())
}

func (c *Controller) receiveTrialRequest(ask *vmpb.TrialAsk) *vmpb.TrialReply {
	records := recordsFromWire([]*vmpb.Suspect{ask.GetSuspect()})
	if len(records) == 0 {
		return &vmpb.TrialReply{RetryAfterMs: uint32(noArbiterRetryAfter.Milliseconds())}
	}
	c.merge(records)
	d := c.startTrial(records[0].Digest)
	return &vmpb.TrialReply{Granted: d.Allowed(), RetryAfterMs: uint32(d.RetryAfter().Milliseconds())}
}

// arbiters returns the entry VMs that decide on the trials of a digest, in the
// order in which they are asked.
func (c *Controller) arbiters(digest hawthornrail.RequestDigest) []hawthornrail.VM {
	vms := ranking.ByHash(c.deps.Config.Snapshot().EntryVMs(), string(digest[:]))
	return vms[:min(len(vms), maxArbiters)]
}
