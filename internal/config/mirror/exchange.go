package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// askInterval is the mean time between two asks of other VMs.
	askInterval = 500 * time.Millisecond
	// askTimeout bounds one ask.
	askTimeout = 400 * time.Millisecond
)

// Exchange asks other VMs for later revisions than the mirror holds, so that a
// VM which the store turns away still hears of changes.
type Exchange struct {
	mirror  *Mirror
	contact *Contact
	duty    *Duty
	kinds   []string
	asker   peer.Asker
	peers   func() []string
	clock   hawthornrail.Clock
}

// ExchangeParts are what an Exchange works with.
type ExchangeParts struct {
	Mirror  *Mirror
	Contact *Contact
	Duty    *Duty
	// Kinds are the kinds of objects that are asked for, and Peers returns the
	// addresses of the VMs to ask.
	Kinds []string
	Peers func() []string
	Asker peer.Asker
	Clock hawthornrail.Clock
}

// NewExchange returns an exchange that has asked nobody yet.
func NewExchange(p ExchangeParts) *Exchange {
	return &Exchange{mirror: p.Mirror, contact: p.Contact, duty: p.Duty, kinds: p.Kinds, asker: p.Asker, peers: p.Peers, clock: p.Clock}
}

// Run asks one VM after the other until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	for {
		if !clock.Wait(ctx, e.clock, askInterval/2+rand.N(askInterval)) {
			return
		}
		peers := e.peers()
		if len(peers) == 0 {
			e.contact.Alone()
			continue
		}
		// One that does not answer is asked again when its turn comes.
		_, _ = e.ask(ctx, peers[rand.IntN(len(peers))], 0, e.contact.Heard)
	}
}

// ask takes what a VM holds of later revisions, and first what it says of the
// store, which heard gets. The VM may hold its answer back for a time until
// there is a change.
func (e *Exchange) ask(ctx context.Context, address string, wait time.Duration, heard func(string, Standing, time.Time)) (Standing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+askTimeout)
	defer cancel()
	ask := &vmpb.ObjectsAsk{WaitMs: uint32(wait.Milliseconds()), Held: e.held()}
	var reply vmpb.ObjectsReply
	open := &vmpb.Open{Kind: &vmpb.Open_ObjectsAsk{ObjectsAsk: ask}}
	from, err := e.asker.Ask(ctx, address, open, &reply)
	if err != nil {
		return Standing{}, fmt.Errorf("ask for changes: %w", err)
	}
	standing := NewStanding(reply.GetInContact(), reply.GetLost(), time.Duration(reply.GetSettlingMs())*time.Millisecond)
	standing.watching = reply.GetWatching()
	heard(from.DataCentre(), standing, e.clock.Now())
	for _, k := range reply.GetKinds() {
		e.take(k)
	}
	return standing, nil
}

// held returns what this VM holds. A kind that it holds nothing of comes whole,
// and at a start for all VMs at once, so the store is to send it as long as it
// answers.
func (e *Exchange) held() []*vmpb.ObjectsHeld {
	lost := e.contact.Standing(e.clock.Now()).Lost()
	var list []*vmpb.ObjectsHeld
	for _, kind := range e.kinds {
		if revision := e.mirror.Revision(kind); revision > 0 || lost {
			list = append(list, &vmpb.ObjectsHeld{Kind: kind, Revision: revision})
		}
	}
	return list
}

func (e *Exchange) take(k *vmpb.ObjectsOfKind) {
	list := make([]hawthornrail.Object, 0, len(k.GetObjects()))
	for _, o := range k.GetObjects() {
		list = append(list, hawthornrail.NewObject(o.GetName(), o.GetValue()))
	}
	changes := hawthornrail.NewObjectChanges(k.GetRevision(), list, k.GetRemoved())
	if k.GetSince() == 0 {
		e.mirror.Replace(k.GetKind(), changes)
		return
	}
	// Changes that do not follow on what is held by now are asked for again.
	e.mirror.Change(k.GetKind(), k.GetSince(), changes)
}

// Receive answers the ask of another VM and reports whether open is one.
func (e *Exchange) Receive(ctx context.Context, open *vmpb.Open, s *peer.Stream) bool {
	ask := open.GetObjectsAsk()
	if ask == nil {
		return false
	}
	e.await(ctx, ask)
	// A lost answer is asked for again.
	_ = s.Send(e.reply(ask))
	return true
}

// await returns once there is a change for the asking VM or its wait is over.
func (e *Exchange) await(ctx context.Context, ask *vmpb.ObjectsAsk) {
	if ask.GetWaitMs() == 0 {
		return
	}
	over := e.clock.After(min(time.Duration(ask.GetWaitMs())*time.Millisecond, followWait))
	for {
		news := e.mirror.News()
		if e.changed(ask) {
			return
		}
		select {
		case <-news:
		case <-over:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (e *Exchange) changed(ask *vmpb.ObjectsAsk) bool {
	for _, held := range ask.GetHeld() {
		if e.mirror.Changed(held.GetKind(), held.GetRevision()) {
			return true
		}
	}
	return false
}

func (e *Exchange) reply(ask *vmpb.ObjectsAsk) *vmpb.ObjectsReply {
	own := e.contact.Standing(e.clock.Now())
	watching, _ := e.duty.Watching()
	reply := &vmpb.ObjectsReply{
		InContact: own.InContact(), Lost: own.Lost(), SettlingMs: uint32(own.Settling().Milliseconds()), Watching: watching,
	}
	for _, held := range ask.GetHeld() {
		if kind := e.later(held); kind != nil {
			reply.Kinds = append(reply.Kinds, kind)
		}
	}
	return reply
}

// later returns what changed of a kind since the revision that another VM
// holds, all objects if the changes are not known any more, or nil if it holds
// as much.
func (e *Exchange) later(held *vmpb.ObjectsHeld) *vmpb.ObjectsOfKind {
	if e.mirror.Revision(held.GetKind()) <= held.GetRevision() {
		return nil
	}
	since := held.GetRevision()
	changes, known := e.mirror.Since(held.GetKind(), since)
	if !known {
		since = 0
		changes, known = e.mirror.Later(held.GetKind(), held.GetRevision())
	}
	if !known {
		return nil
	}
	kind := &vmpb.ObjectsOfKind{Kind: held.GetKind(), Revision: changes.Revision(), Since: since, Removed: changes.Removed()}
	for _, o := range changes.Set() {
		kind.Objects = append(kind.Objects, &vmpb.StoredObject{Name: o.Name(), Value: o.Value()})
	}
	return kind
}
