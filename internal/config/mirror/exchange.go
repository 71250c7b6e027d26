package mirror

import (
	"cmp"
	"context"
	"fmt"
	"hash/maphash"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/vm/unlisted"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// requestInterval is the mean time between two requests to other VMs.
	requestInterval = 500 * time.Millisecond
	// outdatedRequestInterval is the same while this VM may have missed changes.
	outdatedRequestInterval = 200 * time.Millisecond
	// requestTimeout bounds one request, beyond the delay that it allows.
	requestTimeout = 400 * time.Millisecond
)

// Exchange requests later revisions than the mirror holds from other VMs, and
// serves such requests. A VM that cannot reach the store still receives changes
// this way.
type Exchange struct {
	mirror      *Mirror
	storeHealth *StoreHealth
	watchRole   *WatchRole
	kinds       []string
	client      peer.Invoker
	peers       func() []string
	unlisted    *unlisted.Table
	clock       hawthornrail.Clock
	// orderSeed defines the order in which requests are sent to the other VMs. It
	// differs between VMs, so that they do not all send to the same one at once.
	orderSeed maphash.Seed
}

// ExchangeDependencies are the dependencies of an Exchange.
type ExchangeDependencies struct {
	Mirror      *Mirror
	StoreHealth *StoreHealth
	WatchRole   *WatchRole
	// Kinds are the kinds of objects to request, and Peers returns the
	// addresses of the VMs to request them from.
	Kinds []string
	Peers func() []string
	// Unlisted holds the VMs that the platform does not list.
	Unlisted *unlisted.Table
	Invoker  peer.Invoker
	Clock    hawthornrail.Clock
}

// NewExchange returns an exchange that has sent no request yet.
func NewExchange(p ExchangeDependencies) *Exchange {
	return &Exchange{
		mirror: p.Mirror, storeHealth: p.StoreHealth, watchRole: p.WatchRole, kinds: p.Kinds,
		client: p.Invoker, peers: p.Peers, unlisted: p.Unlisted, clock: p.Clock, orderSeed: maphash.MakeSeed(),
	}
}

// Run sends requests to all VMs in turn until ctx ends. It does not wait for
// replies, so that a VM that does not reply delays no request to another one.
func (e *Exchange) Run(ctx context.Context) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for previous := ""; ; {
		interval := e.interval()
		if !clock.Wait(ctx, e.clock, interval/2+rand.N(interval)) {
			return
		}
		address, ok := e.peerAfter(previous)
		if !ok {
			e.storeHealth.NoPeers()
			continue
		}
		previous = address
		pending.Go(func() {
			// A VM that does not reply is tried again at its next turn.
			_, _ = e.request(ctx, address, 0, e.storeHealth.PeerReported)
		})
	}
}

// interval is the mean time between two requests.
func (e *Exchange) interval() time.Duration {
	if e.storeHealth.Outdated(e.clock.Now()) {
		return outdatedRequestInterval
	}
	return requestInterval
}

// peerAfter returns the address that follows on another one in this VM's order of
// all other VMs; ok is false if there are none.
func (e *Exchange) peerAfter(previous string) (address string, ok bool) {
	peers := slices.Clone(e.peers())
	if len(peers) == 0 {
		return "", false
	}
	position := func(address string) uint64 { return maphash.String(e.orderSeed, address) }
	slices.SortFunc(peers, func(a, b string) int { return cmp.Compare(position(a), position(b)) })
	after := position(previous)
	for _, p := range peers {
		if position(p) > after {
			return p, true
		}
	}
	return peers[0], true
}

// request applies the later revisions that a VM holds. Before that it passes
// the VM's status of the store to report. The VM may delay its reply for wait
// until there is a change.
func (e *Exchange) request(ctx context.Context, address string, wait time.Duration, report func(string, StoreStatus, time.Time)) (StoreStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestTimeout)
	defer cancel()
	request := &vmpb.ObjectsAsk{WaitMs: uint32(wait.Milliseconds()), Held: e.heldRevisions(), Unlisted: e.unlisted.Messages()}
	var reply vmpb.ObjectsReply
	open := &vmpb.Open{Kind: &vmpb.Open_ObjectsAsk{ObjectsAsk: request}}
	sent := e.clock.Now()
	from, err := e.client.Invoke(ctx, address, open, &reply)
	if err != nil {
		return StoreStatus{}, fmt.Errorf("request changes: %w", err)
	}
	e.unlisted.Merge(reply.GetUnlisted())
	status := NewStoreStatus(reply.GetInContact(), reply.GetLost(), time.Duration(reply.GetSettlingMs())*time.Millisecond)
	status.watching = reply.GetWatching()
	// The time counts from the request, since the reply may have been held up on
	// its way.
	if e.storeHealth.covers(reply.GetConfirmedKinds()) {
		status.confirmed = sent.Add(time.Duration(reply.GetConfirmedMs()) * time.Millisecond)
	}
	report(from.DataCentre(), status, e.clock.Now())
	applied := e.applyAll(address, reply.GetKinds())
	// A kind that was not requested may be missing here.
	status.applied = applied && len(request.GetHeld()) == len(e.kinds)
	if status.applied {
		e.storeHealth.Heard(status.confirmed)
	}
	return status, nil
}

// applyAll applies a reply and reports whether this VM then holds all that the
// reply contains.
func (e *Exchange) applyAll(source string, kinds []*vmpb.ObjectsOfKind) bool {
	complete := true
	for _, k := range kinds {
		e.apply(source, k)
		complete = complete && e.mirror.Revision(k.GetKind()) >= k.GetRevision()
	}
	return complete
}

// heldRevisions returns the revisions that this VM holds. A kind that it holds
// nothing of would be sent in full, and at a start of the fleet to all VMs at
// once; it is requested only while the store does not respond.
func (e *Exchange) heldRevisions() []*vmpb.ObjectsHeld {
	lost := e.storeHealth.Status(e.clock.Now()).Lost()
	var list []*vmpb.ObjectsHeld
	for _, kind := range e.kinds {
		if revision := e.mirror.Revision(kind); revision > 0 || lost {
			list = append(list, &vmpb.ObjectsHeld{Kind: kind, Revision: revision})
		}
	}
	return list
}

func (e *Exchange) apply(source string, k *vmpb.ObjectsOfKind) {
	list := make([]hawthornrail.Object, 0, len(k.GetObjects()))
	for _, o := range k.GetObjects() {
		list = append(list, hawthornrail.NewObject(o.GetName(), o.GetValue()))
	}
	changes := hawthornrail.NewObjectChanges(k.GetRevision(), list, k.GetRemoved()).WithSource(source)
	if k.GetSince() == 0 {
		e.mirror.Replace(k.GetKind(), changes)
		return
	}
	// Changes after a gap are requested again.
	e.mirror.ApplyChanges(k.GetKind(), k.GetSince(), changes)
}

// Receive serves the request of another VM and reports whether open is one.
func (e *Exchange) Receive(ctx context.Context, open *vmpb.Open, s *peer.Stream) bool {
	request := open.GetObjectsAsk()
	if request == nil {
		return false
	}
	// A VM that misses the reply sends its request again.
	_ = s.Send(e.serve(ctx, request))
	return true
}

// serve returns the reply to a request once there is a change or its wait is
// over.
func (e *Exchange) serve(ctx context.Context, request *vmpb.ObjectsAsk) *vmpb.ObjectsReply {
	arrived := e.clock.Now()
	e.unlisted.Merge(request.GetUnlisted())
	e.awaitChange(ctx, request)
	return e.reply(request, arrived)
}

// awaitChange returns once there is a change for the requesting VM, the store
// confirms that there is none, or the wait is over.
func (e *Exchange) awaitChange(ctx context.Context, request *vmpb.ObjectsAsk) {
	if request.GetWaitMs() == 0 {
		return
	}
	timeout := e.clock.After(min(time.Duration(request.GetWaitMs())*time.Millisecond, longPollWait))
	_, nextConfirmation := e.storeHealth.LastConfirmation()
	for {
		nextChange := e.mirror.NextChange()
		if e.hasChanges(request) {
			return
		}
		select {
		case <-nextChange:
		case <-nextConfirmation:
			return
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (e *Exchange) hasChanges(request *vmpb.ObjectsAsk) bool {
	for _, held := range request.GetHeld() {
		if e.mirror.ChangedSince(held.GetKind(), held.GetRevision()) {
			return true
		}
	}
	return false
}

func (e *Exchange) reply(request *vmpb.ObjectsAsk, arrived time.Time) *vmpb.ObjectsReply {
	status := e.storeHealth.Status(e.clock.Now())
	watching, _ := e.watchRole.Watching()
	confirmed, _ := e.storeHealth.LastConfirmation()
	reply := &vmpb.ObjectsReply{
		InContact: status.InContact(), Lost: status.Lost(), SettlingMs: uint32(status.Settling().Milliseconds()), Watching: watching,
		ConfirmedMs: int32(max(math.MinInt32, confirmed.Sub(arrived).Milliseconds())), ConfirmedKinds: e.storeHealth.RequiredKinds(),
		Unlisted: e.unlisted.Messages(),
	}
	for _, held := range request.GetHeld() {
		if changes := e.changesFor(held); changes != nil {
			reply.Kinds = append(reply.Kinds, changes)
		}
	}
	return reply
}

// changesFor returns the changes of a kind since the revision that another VM
// holds, all objects if those changes are no longer recorded, or nil if the
// other VM is up to date.
func (e *Exchange) changesFor(held *vmpb.ObjectsHeld) *vmpb.ObjectsOfKind {
	if e.mirror.Revision(held.GetKind()) <= held.GetRevision() {
		return nil
	}
	since := held.GetRevision()
	changes, complete := e.mirror.ChangesSince(held.GetKind(), since)
	if !complete {
		since = 0
		changes, complete = e.mirror.ListIfNewer(held.GetKind(), held.GetRevision())
	}
	if !complete {
		return nil
	}
	kind := &vmpb.ObjectsOfKind{Kind: held.GetKind(), Revision: changes.Revision(), Since: since, Removed: changes.Removed()}
	for _, o := range changes.Set() {
		kind.Objects = append(kind.Objects, &vmpb.StoredObject{Name: o.Name(), Value: o.Value()})
	}
	return kind
}
