package members

import (
	"context"
	"math/rand/v2"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	probePeriod  = time.Second
	probeTimeout = time.Second
	forgetAfter  = 10 * time.Minute
)

// Prober sends heartbeats to the other VMs in turn, one in each probePeriod.
type Prober struct {
	table      *Table
	config     hawthornrail.Configuration
	client     *peer.Client
	clock      hawthornrail.Clock
	queue      []hawthornrail.Member
	onRevision func(m hawthornrail.Member, revision uint64)
}

// NewProber returns a prober that fills table.
func NewProber(table *Table, config hawthornrail.Configuration, client *peer.Client, clock hawthornrail.Clock) *Prober {
	return &Prober{
		table: table, config: config, client: client, clock: clock,
		onRevision: func(hawthornrail.Member, uint64) {},
	}
}

// OnRevision makes the prober call f with each member that sends or replies to a
// heartbeat and with its configuration revision; it must be called before Run.
func (p *Prober) OnRevision(f func(m hawthornrail.Member, revision uint64)) { p.onRevision = f }

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.table.UpdateVMs(p.config.Snapshot().VMs(), p.clock.Now().Add(-forgetAfter))
		if m, ok := p.next(); ok {
			p.probe(ctx, m)
		}
		clock.Wait(ctx, p.clock, probePeriod)
	}
}

// next returns the members in random order and each of them once per round, so
// that the time between two probes of a member is bounded.
func (p *Prober) next() (hawthornrail.Member, bool) {
	if len(p.queue) == 0 {
		p.queue = p.table.Members()
		rand.Shuffle(len(p.queue), func(i, j int) { p.queue[i], p.queue[j] = p.queue[j], p.queue[i] })
	}
	if len(p.queue) == 0 {
		return hawthornrail.Member{}, false
	}
	m := p.queue[0]
	p.queue = p.queue[1:]
	return m, true
}

func (p *Prober) probe(ctx context.Context, m hawthornrail.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	open := &vmpb.Open{Kind: &vmpb.Open_Heartbeat{Heartbeat: &vmpb.Heartbeat{
		From: convert.MemberToWire(p.table.Self()), ConfigRevision: p.config.Snapshot().Revision(),
		News: convert.MembersToWire(p.table.Updates()),
	}}}
	var reply vmpb.HeartbeatReply
	if _, err := p.client.Invoke(ctx, m.Address(), open, &reply); err != nil {
		return
	}
	p.table.RecordContact(convert.MemberFromWire(reply.GetFrom()), p.clock.Now())
	p.table.MergeUpdates(convert.MembersFromWire(reply.GetNews()))
	p.onRevision(convert.MemberFromWire(reply.GetFrom()), reply.GetConfigRevision())
}

// HandleHeartbeat records another VM's heartbeat and returns the reply to it.
func (p *Prober) HandleHeartbeat(m *vmpb.Heartbeat) *vmpb.HeartbeatReply {
	p.table.RecordContact(convert.MemberFromWire(m.GetFrom()), p.clock.Now())
	p.table.MergeUpdates(convert.MembersFromWire(m.GetNews()))
	p.onRevision(convert.MemberFromWire(m.GetFrom()), m.GetConfigRevision())
	return &vmpb.HeartbeatReply{
		From: convert.MemberToWire(p.table.Self()), ConfigRevision: p.config.Snapshot().Revision(),
		News: convert.MembersToWire(p.table.Updates()),
	}
}
