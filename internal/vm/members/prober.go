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

// Prober probes the other VMs in turn, one a period.
type Prober struct {
	table  *Table
	config hawthornrail.Configuration
	client *peer.Client
	clock  hawthornrail.Clock
	turn   []hawthornrail.Member
	heard  func(m hawthornrail.Member, revision uint64)
}

// NewProber returns a prober that fills table.
func NewProber(table *Table, config hawthornrail.Configuration, client *peer.Client, clock hawthornrail.Clock) *Prober {
	return &Prober{
		table: table, config: config, client: client, clock: clock,
		heard: func(hawthornrail.Member, uint64) {},
	}
}

// OnRevision makes the prober call heard with the revision of the
// configuration that a member says it holds; it must be set before Run.
func (p *Prober) OnRevision(heard func(m hawthornrail.Member, revision uint64)) { p.heard = heard }

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.table.List(p.config.Snapshot().VMs(), p.clock.Now().Add(-forgetAfter))
		if m, ok := p.next(); ok {
			p.probe(ctx, m)
		}
		clock.Wait(ctx, p.clock, probePeriod)
	}
}

// next goes through all members in a random order before it starts again, so
// that none is left out for long.
func (p *Prober) next() (hawthornrail.Member, bool) {
	if len(p.turn) == 0 {
		p.turn = p.table.Members()
		rand.Shuffle(len(p.turn), func(i, j int) { p.turn[i], p.turn[j] = p.turn[j], p.turn[i] })
	}
	if len(p.turn) == 0 {
		return hawthornrail.Member{}, false
	}
	m := p.turn[0]
	p.turn = p.turn[1:]
	return m, true
}

func (p *Prober) probe(ctx context.Context, m hawthornrail.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	open := &vmpb.Open{Kind: &vmpb.Open_Heartbeat{Heartbeat: &vmpb.Heartbeat{
		From: convert.MemberToWire(p.table.Self()), ConfigRevision: p.config.Snapshot().Revision(),
		News: convert.MembersToWire(p.table.News()),
	}}}
	var reply vmpb.HeartbeatReply
	if _, err := p.client.Ask(ctx, m.Address(), open, &reply); err != nil {
		return
	}
	p.table.Answered(convert.MemberFromWire(reply.GetFrom()), p.clock.Now())
	p.table.Heard(convert.MembersFromWire(reply.GetNews()))
	p.heard(convert.MemberFromWire(reply.GetFrom()), reply.GetConfigRevision())
}

// Answer takes another VM's heartbeat and returns the answer to it.
func (p *Prober) Answer(m *vmpb.Heartbeat) *vmpb.HeartbeatReply {
	p.table.Answered(convert.MemberFromWire(m.GetFrom()), p.clock.Now())
	p.table.Heard(convert.MembersFromWire(m.GetNews()))
	p.heard(convert.MemberFromWire(m.GetFrom()), m.GetConfigRevision())
	return &vmpb.HeartbeatReply{
		From: convert.MemberToWire(p.table.Self()), ConfigRevision: p.config.Snapshot().Revision(),
		News: convert.MembersToWire(p.table.News()),
	}
}
