package client

import (
	"context"
	"errors"
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/observe/trail"
	"hawthornrail.example/hawthornrail/internal/policy/placement"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// askDelay is how long a reply is waited for before the next VM is asked.
	askDelay = 50 * time.Millisecond
	// loadTimeout bounds the search for a chain, and suspectTimeout the wait for a VM
	// that is suspected to be down.
	loadTimeout    = 2 * time.Second
	suspectTimeout = 100 * time.Millisecond
)

var errCycle = errors.New("it follows itself")

// loadReply is the reply of a VM; its state is CHAIN_STATE_UNSPECIFIED if none came.
type loadReply struct {
	vm    hawthornrail.VM
	chain *vmpb.ChainLoadReply
}

// searched is what a search for a turn has found: its chain at a VM, or the turn alone in the
// platform's store.
type searched struct {
	source metrics.ChainSource
	chain  hawthornrail.Chain
	kept   hawthornrail.KeptTurn
}

// Chain returns a turn and its ancestors: from the first VM that holds them, and those that
// too few disks have from the platform's store.
func (c *Client) Chain(ctx context.Context, q hawthornrail.ChainQuery) (hawthornrail.Chain, error) {
	start := c.deps.Clock.Now()
	a := &admission{query: q}
	found, err := c.search(ctx, q.Ref(), q.Program(), a)
	c.deps.Metrics.Loaded(found.source, c.deps.Clock.Since(start))
	var newer []hawthornrail.Turn
	for err == nil && found.source == metrics.ChainFromStore {
		t := found.kept.Turn()
		c.deliver(ctx, found.kept)
		newer = append(newer, t)
		if err = a.admitNewer(t); err != nil || t.Parent() == "" {
			break
		}
		if slices.ContainsFunc(newer, func(n hawthornrail.Turn) bool { return n.Ref().ID() == t.Parent() }) {
			err = errCycle
			break
		}
		found, err = c.search(ctx, hawthornrail.NewTurnRef(q.Ref().Team(), t.Parent()), t.PlacementKey(), a)
	}
	if err != nil && len(newer) > 0 && !isRefused(err) {
		// The turns before a kept one exist, wherever they are.
		err = uncertain("a turn before turn %s is out of reach: %w", newer[len(newer)-1].Ref().ID(), err)
	}
	return withNewer(found.chain, newer), err
}

// withNewer returns a chain with further turns, the newest first.
func withNewer(chain hawthornrail.Chain, newer []hawthornrail.Turn) hawthornrail.Chain {
	if len(newer) == 0 {
		return chain
	}
	content := chain.Content()
	for _, t := range slices.Backward(newer) {
		content = append(append(content, t.Input()...), t.Output()...)
	}
	return hawthornrail.NewChain(content, newer[0].PlacementKey(), chain.Turns()+len(newer))
}

// search searches a turn at the VMs with a disk and then in the platform's store.
func (c *Client) search(ctx context.Context, ref hawthornrail.TurnRef, program string, a *admission) (searched, error) {
	found, diskErr := c.fromDisks(ctx, ref, program, a)
	if diskErr == nil || isRefused(diskErr) {
		return found, diskErr
	}
	unknown := hawthornrail.AsFailure(diskErr).Code() == hawthornrail.CodeUnknownTurn
	kept, ok, err := c.keptTurn(ctx, ref, unknown)
	switch {
	case err != nil:
		return found, uncertain("the platform's store does not tell whether it keeps turn %s: %w", ref.ID(), err)
	case ok:
		return searched{source: metrics.ChainFromStore, kept: kept}, nil
	case !unknown:
		return found, diskErr
	}
	// The turn may have moved from the store to the disks after these had been asked.
	return c.fromDisks(ctx, ref, program, a)
}

// keptTurn asks the platform's store for a turn. Only if it would else be said not to exist is
// a reply of some seconds ago not enough.
func (c *Client) keptTurn(ctx context.Context, ref hawthornrail.TurnRef, unknown bool) (kept hawthornrail.KeptTurn, ok bool, err error) {
	if unknown {
		return c.deps.Handoff.Kept(ctx, ref)
	}
	return c.deps.Handoff.KeptCached(ctx, ref)
}

// fromDisks returns the chain of a turn from a VM that holds it. Otherwise it returns a Failure
// with CodeUnknownTurn if it is certain that no VM does, and else with CodeTurnUncertain.
func (c *Client) fromDisks(ctx context.Context, ref hawthornrail.TurnRef, program string, a *admission) (searched, error) {
	vms := c.deps.Config.Snapshot().DiskVMs()
	t := &transfer{ref: ref, admission: a}
	for others := vms; ; {
		s := newSearch(others, placement.Key(program, ref.ID()), c.deps.DataCentre, c.requiredCopies(), c.monitor.Suspected)
		found, ok := c.findLogged(ctx, s, ref)
		if !ok {
			return searched{source: metrics.ChainFromNone}, c.notFound(s, ref, vms)
		}
		err := c.receive(ctx, t, found)
		if !errors.Is(err, errInterrupted) {
			return searched{source: c.source(found.vm), chain: t.chain()}, err
		}
		trail.From(ctx).Event(events.ChainInterrupted).Str("parent", ref.ID()).Str("from", found.vm.Name()).Err(err).
			Int("bytes", len(t.content)).Int("total_bytes", int(t.total)).Emit()
		others = without(others, found.vm.Address())
	}
}

// notFound returns the Failure of a search that has found no chain. A VM that the search left
// out had the turn.
func (c *Client) notFound(s *search, ref hawthornrail.TurnRef, vms []hawthornrail.VM) error {
	if len(s.order) == len(vms) && s.absent() && c.listComplete(vms) {
		return hawthornrail.NotRun(hawthornrail.CodeUnknownTurn, "no VM with a disk has turn %s of team %s", ref.ID(), ref.Team())
	}
	return uncertain("%d of %d VMs with a disk reply that they lack turn %s", s.replies[vmpb.ChainState_CHAIN_STATE_UNKNOWN], len(vms), ref.ID())
}

// without returns the VMs but the one at an address.
func without(vms []hawthornrail.VM, address string) []hawthornrail.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(v hawthornrail.VM) bool { return v.Address() == address })
}

// uncertain returns the Failure of a request whose turn may exist.
func uncertain(format string, args ...any) error {
	return hawthornrail.NotRun(hawthornrail.CodeTurnUncertain, format, args...).WithRetryAfter(jittered(minRetryAfter))
}

// findLogged is find with a log line.
func (c *Client) findLogged(ctx context.Context, s *search, ref hawthornrail.TurnRef) (found loadReply, ok bool) {
	start := c.deps.Clock.Now()
	found, ok = c.find(ctx, s, ref)
	took := c.deps.Clock.Since(start)
	line := trail.From(ctx).Event(events.ChainLoaded).Str("parent", ref.ID()).Str("from", found.vm.Name()).Bool("found", ok).
		Int("vms", len(s.order)).Int("asked", s.asked).Int("unknown", s.replies[vmpb.ChainState_CHAIN_STATE_UNKNOWN]).
		Int("foreign", s.replies[vmpb.ChainState_CHAIN_STATE_FOREIGN]).Int("uncertain", s.replies[vmpb.ChainState_CHAIN_STATE_UNCERTAIN]).
		Int("no_reply", s.replies[vmpb.ChainState_CHAIN_STATE_UNSPECIFIED]).Millis("config_age_ms", c.deps.Config.Age())
	line.Int("turns", int(found.chain.GetTurns())).Int("bytes", int(totalBytes(found.chain))).Millis("took_ms", took).Emit()
	return found, ok
}

// listComplete reports whether the list can be relied on to hold every VM that may have a
// turn. It lacks some while it is not current, and while VMs with a disk have yet to
// register: copies are in different data centres, so that the VMs of a data centre are
// missing in a list without any.
func (c *Client) listComplete(vms []hawthornrail.VM) bool {
	if !c.deps.Freshness.Current() {
		return false
	}
	listed := make(map[string]bool)
	for _, vm := range vms {
		listed[vm.DataCentre()] = true
	}
	return !slices.ContainsFunc(c.deps.DataCentres, func(dc string) bool { return !listed[dc] })
}

// source returns where a chain was found.
func (c *Client) source(vm hawthornrail.VM) metrics.ChainSource {
	if vm.DataCentre() == c.deps.DataCentre {
		return metrics.ChainFromOwnDataCentre
	}
	return metrics.ChainFromOther
}

// find asks VMs until one has the chain. A VM that is late is still waited for while the
// next ones are asked.
func (c *Client) find(ctx context.Context, s *search, ref hawthornrail.TurnRef) (found loadReply, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	replies := make(chan loadReply, len(s.order))
	ask := func() <-chan time.Time {
		for _, vm := range s.next() {
			go func() { replies <- c.ask(ctx, vm, firstPart(ref)) }()
		}
		if s.allAsked() {
			return nil
		}
		return c.deps.Clock.After(askDelay)
	}
	for late := ask(); !s.finished(); {
		select {
		case r := <-replies:
			if r.chain.GetState() == vmpb.ChainState_CHAIN_STATE_FOUND {
				return r, true
			}
			s.record(r.chain.GetState())
			late = ask()
		case <-late:
			late = ask()
		case <-ctx.Done():
			return loadReply{}, false
		}
	}
	return loadReply{}, false
}

func (c *Client) ask(ctx context.Context, vm hawthornrail.VM, m *vmpb.ChainLoad) loadReply {
	timeout := loadTimeout
	if c.monitor.Suspected(vm.Address()) {
		timeout = suspectTimeout
	}
	reply, err := c.loadPart(ctx, timeout, vm, m)
	if err != nil {
		// The search counts it as a VM that may have the turn.
		return loadReply{vm: vm}
	}
	return loadReply{vm: vm, chain: reply}
}
