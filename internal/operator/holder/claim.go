package holder

import (
	"context"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
)

const (
	// claimInterval is the interval at which a VM checks whether it is the
	// holder of its data centre.
	claimInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// settleDelay is how long after a takeover the accounts are listed: announcements that
	// other holders have begun to send to the predecessor end within that time.
	settleDelay = 2 * time.Second
)

// keepRole claims the role of holder of the data centre, watches whether it stays this
// VM's, and claims it again once it is lost. A registered holder that responds is not
// replaced.
func (p *process) keepRole(ctx context.Context) {
	p.node.Loop(p.tick)
	for ctx.Err() == nil {
		p.claim(ctx)
		p.node.Loop(p.recoverAgain)
		p.awaitDoubt(ctx)
	}
}

// tick shows that the process runs until ctx ends.
func (p *process) tick(ctx context.Context) {
	for clock.Wait(ctx, p.node.Clock(), tickInterval) {
		p.role.tick()
	}
}

// claim retries until this VM is registered as the holder of its data centre.
func (p *process) claim(ctx context.Context) {
	own := p.self()
	var registered outage
	for ctx.Err() == nil {
		askedAt := p.node.Clock().Now()
		if p.claimOnce(ctx, own, &registered) && p.role.confirm(askedAt) {
			p.recordClaimed(own)
			return
		}
		clock.Wait(ctx, p.node.Clock(), claimInterval)
	}
}

func (p *process) recordClaimed(own hawthornrail.Holder) {
	if p.registered {
		return
	}
	p.registered = true
	p.node.Log().Event(events.HolderClaimed).Str("data_centre", own.DataCentre()).Str("address", own.Address()).Emit()
}

func (p *process) self() hawthornrail.Holder {
	s := p.node.Settings()
	return hawthornrail.NewHolder(s.DataCentre(), s.VM(), s.PeerAddress())
}

// claimOnce reports whether this VM is registered now.
func (p *process) claimOnce(ctx context.Context, own hawthornrail.Holder, registered *outage) bool {
	registry := p.node.Adapter().Registry
	current, revision, err := registry.Holder(ctx, own.DataCentre())
	if err != nil {
		p.node.Log().Event(events.RegisterFailed).Err(err).Emit()
		return false
	}
	if current == own {
		return true
	}
	replaces := revision != 0 && current.VM() != own.VM()
	if replaces && !p.mayTakeOver(ctx, current, registered) {
		return false
	}
	if err := registry.Claim(ctx, own, revision); err != nil {
		// Another VM may have claimed it first; the next attempt reads which.
		p.node.Log().Event(events.RegisterFailed).Err(err).Emit()
		return false
	}
	if replaces {
		p.role.takeOver()
	}
	return true
}

// mayTakeOver reports whether the role of another VM may be claimed. From before the claim
// on, the accounts are incomplete until they are listed again.
func (p *process) mayTakeOver(ctx context.Context, current hawthornrail.Holder, registered *outage) bool {
	p.role.lose()
	p.registered = false
	probedAt := p.node.Clock().Now()
	if !registered.update(p.responds(ctx, current), probedAt, p.node.Clock().Now()) {
		return false
	}
	if err := p.holder.BeginTakeover(); err != nil {
		p.node.Log().Event(events.AccountFailed).Err(err).Emit()
		return false
	}
	return true
}

// recoverAgain lists the programs that were announced to a predecessor, also those that
// began after this VM had listed them first.
func (p *process) recoverAgain(ctx context.Context) {
	if clock.Wait(ctx, p.node.Clock(), settleDelay) {
		p.holder.Recover(ctx)
	}
}

// awaitDoubt waits until the process has paused or another VM is listed as the holder.
func (p *process) awaitDoubt(ctx context.Context) {
	own := p.self()
	for clock.Wait(ctx, p.node.Clock(), claimInterval) {
		listed, ok := p.node.Config().Snapshot().VM(own.DataCentre())
		if !p.role.isHeld() || ok && listed.Address() != own.Address() {
			return
		}
	}
}

// HoldsShares implements hawthornrail.HolderRole: a VM does not hold the shares of its data
// centre while another one is listed as the holder, or while it may have been replaced.
func (p *process) HoldsShares() (since time.Time, held bool) {
	own := p.self()
	listed, _ := p.node.Config().Snapshot().VM(own.DataCentre())
	otherListed := listed.Address() != "" && listed.Address() != own.Address()
	return p.role.takenOverAt(), p.role.isHeld() && !otherListed
}

// responds reports whether the registered holder can be reached.
func (p *process) responds(ctx context.Context, h hawthornrail.Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return peer.Probe(ctx, p.node.DirectClient(), h.Address()) == nil
}
