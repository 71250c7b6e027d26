package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/mirror"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/unlisted"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// listTimeout and watchMargin are the timeouts of the store's client.
	listTimeout = 1500 * time.Millisecond
	watchMargin = 1500 * time.Millisecond
	// hop is the time that a message takes in one direction.
	hop = 2 * time.Millisecond
	// unchangedObjects is how many objects of the simulated store never change.
	unchangedObjects = 20
)

var errNoResponse = errors.New("no response")

// simStore is a store with one object that changes.
type simStore struct {
	mu       sync.Mutex
	revision uint64
	changed  chan struct{}
	calls    int
	lists    int
}

func newSimStore() *simStore { return &simStore{revision: 1, changed: make(chan struct{})} }

// change makes a change and returns its revision.
func (s *simStore) change() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *simStore) state() (uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.changed
}

func (s *simStore) countCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *simStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *simStore) countList() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
}

func (s *simStore) listCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// objectsAt returns an object that changes and many that do not.
func objectsAt(revision uint64) hawthornrail.ObjectChanges {
	objects := []hawthornrail.Object{hawthornrail.NewObject("object", []byte(strconv.FormatUint(revision, 10)))}
	for n := range unchangedObjects {
		objects = append(objects, hawthornrail.NewObject(fmt.Sprintf("other%d", n), nil))
	}
	return hawthornrail.NewObjectChanges(revision, objects, nil)
}

// simVM is a VM whose processes run in a simulated fleet; it implements the
// interfaces to the store and to the other VMs.
type simVM struct {
	fleet       *simFleet
	address     string
	mirror      *mirror.Mirror
	storeHealth *mirror.StoreHealth
	watchRole   *mirror.WatchRole
	exchange    *mirror.Exchange
	unlisted    *unlisted.Table
	// cachedRevision is the revision of cached lists if it is not the newest one.
	cachedRevision uint64
	// bounded is how long a change of boundedKindName may take until it is in force, or
	// 0 if the VM does not mirror that kind.
	bounded time.Duration
	// turnedAway is set if the store refuses all calls of the VM but cached lists.
	turnedAway bool

	mu sync.Mutex
	// dark is set if no message reaches or leaves the VM, and storeSilent if
	// the store does not respond to it.
	dark        bool
	storeSilent bool
	// unreadable is set if the VM can't read the changes that the store sends.
	unreadable bool
	// silentKind is the kind whose watches the store does not respond to.
	silentKind string
	// brokenAt is when the connections of all watches under way broke unnoticed.
	brokenAt time.Time
}

// simFleet is a fleet of VMs in two data centres, without a network.
type simFleet struct {
	store *simStore
	// inForce is how long a change may take until it is in force.
	inForce time.Duration
	running sync.WaitGroup

	mu  sync.Mutex
	vms map[string]*simVM
}

// newSimFleet starts VMs with the given addresses; the first letter of an
// address is its data centre.
func newSimFleet(ctx context.Context, addresses []string, setUp func(*simVM)) *simFleet {
	f := &simFleet{store: newSimStore(), inForce: inForceTimeout, vms: make(map[string]*simVM)}
	for _, address := range addresses {
		f.vms[address] = &simVM{fleet: f, address: address, mirror: mirror.New(func(string, string, uint64, []hawthornrail.Object) {})}
	}
	for _, address := range addresses {
		if setUp != nil {
			setUp(f.vms[address])
		}
	}
	for _, address := range addresses {
		f.vms[address].start(ctx, addresses)
	}
	return f
}

func (f *simFleet) vm(address string) *simVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[address]
}

func (f *simFleet) add(v *simVM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[v.address] = v
}

func (v *simVM) start(ctx context.Context, addresses []string) {
	dataCentre := v.address[:1]
	v.storeHealth = mirror.NewStoreHealth(dataCentre, v.fleet.inForce)
	v.watchRole = mirror.NewWatchRole()
	var peers, predecessors []string
	for _, address := range addresses {
		if address != v.address {
			peers = append(peers, address)
		}
		if address[:1] == dataCentre && address < v.address {
			predecessors = append(predecessors, address)
		}
	}
	log := events.NewLogger(io.Discard, zerolog.Disabled)
	kinds, boundedKinds := []string{kind}, make(map[string]time.Duration)
	if v.bounded > 0 {
		kinds = append(kinds, boundedKindName)
		boundedKinds[boundedKindName] = v.bounded
		v.storeHealth.RequireKind(boundedKindName, v.bounded)
	}
	v.unlisted = unlisted.NewTable(clock.Real(), func([]hawthornrail.VM) {})
	v.exchange = mirror.NewExchange(mirror.ExchangeDependencies{
		Mirror: v.mirror, StoreHealth: v.storeHealth, WatchRole: v.watchRole, Kinds: kinds,
		Peers: func() []string { return peers }, Unlisted: v.unlisted, Invoker: v, Clock: clock.Real(),
	})
	v.watchRole.SetPredecessors(predecessors, time.Now())
	follower := mirror.NewFollower(mirror.FollowerDependencies{
		Mirror: v.mirror, StoreHealth: v.storeHealth, WatchRole: v.watchRole, HeartbeatKind: kind, InForce: v.fleet.inForce,
		BoundedKinds: boundedKinds, Source: v, Clock: clock.Real(), Log: log,
	})
	subscriber := mirror.NewSubscriber(v.watchRole, v.exchange, v.storeHealth, clock.Real(), log)
	for _, k := range kinds {
		v.fleet.running.Go(func() { follower.Follow(ctx, k) })
	}
	v.fleet.running.Go(func() { v.exchange.Run(ctx) })
	v.fleet.running.Go(func() { subscriber.ExpireSources(ctx) })
	for slot := range mirror.FollowedVMs {
		v.fleet.running.Go(func() { subscriber.Run(ctx, slot) })
	}
}

func (v *simVM) fail(dark, storeSilent bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dark, v.storeSilent = dark, storeSilent
}

func (v *simVM) setUnreadable(unreadable bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unreadable = unreadable
}

func (v *simVM) silence(kind string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.silentKind = kind
}

func (v *simVM) breakWatches() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.brokenAt = time.Now()
}

// isBroken reports whether the connection of a watch that began at a time has broken.
func (v *simVM) isBroken(start time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !start.After(v.brokenAt)
}

func (v *simVM) isSilent(kind string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.silentKind == kind
}

func (v *simVM) canRead() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.unreadable
}

func (v *simVM) isDark() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dark
}

func (v *simVM) storeResponds() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.dark && !v.storeSilent
}

// List returns the object, or fails after its timeout if the store is silent.
func (v *simVM) List(ctx context.Context, _ string) (hawthornrail.ObjectChanges, error) {
	v.fleet.store.countCall()
	v.fleet.store.countList()
	time.Sleep(2 * hop)
	if v.turnedAway {
		return hawthornrail.ObjectChanges{}, errNoResponse
	}
	if !v.storeResponds() {
		return hawthornrail.ObjectChanges{}, waitOut(ctx, listTimeout)
	}
	revision, _ := v.fleet.store.state()
	return objectsAt(revision), nil
}

// ListCached is like List, but may return an older revision.
func (v *simVM) ListCached(ctx context.Context, kind string) (hawthornrail.ObjectChanges, error) {
	if v.cachedRevision == 0 {
		return v.List(ctx, kind)
	}
	time.Sleep(2 * hop)
	return objectsAt(v.cachedRevision), nil
}

// Watch waits for a change. If the store falls silent meanwhile, nothing shows
// it before the timeout.
func (v *simVM) Watch(ctx context.Context, kind string, since uint64, timeout time.Duration) (hawthornrail.ObjectChanges, error) {
	v.fleet.store.countCall()
	if v.turnedAway {
		time.Sleep(2 * hop)
		return hawthornrail.ObjectChanges{}, errNoResponse
	}
	start := time.Now()
	deadline := time.After(timeout)
	for {
		revision, changed := v.fleet.store.state()
		if revision <= since {
			select {
			case <-changed:
				continue
			case <-deadline:
			case <-ctx.Done():
				return hawthornrail.ObjectChanges{}, ctx.Err()
			}
		}
		time.Sleep(2 * hop)
		if !v.storeResponds() || v.isSilent(kind) || v.isBroken(start) {
			return hawthornrail.ObjectChanges{}, waitOut(ctx, timeout+watchMargin-time.Since(start))
		}
		if revision <= since {
			return hawthornrail.NewObjectChanges(revision, nil, nil), nil
		}
		if !v.canRead() {
			return hawthornrail.ObjectChanges{}, hawthornrail.ErrChangesUnreadable
		}
		return objectsAt(revision), nil
	}
}

// waitOut returns an error after a timeout.
func waitOut(ctx context.Context, timeout time.Duration) error {
	clock.Wait(ctx, clock.Real(), timeout)
	return errNoResponse
}

// Invoke sends a request to another VM.
func (v *simVM) Invoke(ctx context.Context, address string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	to := v.fleet.vm(address)
	time.Sleep(hop)
	if v.isDark() || to.isDark() {
		<-ctx.Done()
		return hawthornrail.Instance{}, errNoResponse
	}
	response := mirror.Serve(to.exchange, ctx, open.GetObjectsAsk())
	time.Sleep(hop)
	if ctx.Err() != nil || v.isDark() || to.isDark() {
		<-ctx.Done()
		return hawthornrail.Instance{}, errNoResponse
	}
	proto.Merge(reply, response)
	return hawthornrail.NewInstance(address, address[:1], 1), nil
}

// awaitRevision waits until the VM holds a revision, giveUp at most, and returns
// how long that took.
func (v *simVM) awaitRevision(revision uint64) time.Duration {
	return v.awaitRevisionOf(kind, revision)
}

func (v *simVM) awaitRevisionOf(kind string, revision uint64) time.Duration {
	const step = 10 * time.Millisecond
	start := time.Now()
	for v.mirror.Revision(kind) < revision && time.Since(start) < giveUp {
		time.Sleep(step)
	}
	return time.Since(start)
}

// simulate runs a fleet in simulated time.
func simulate(t *testing.T, addresses []string, run func(ctx context.Context, fleet *simFleet)) {
	t.Helper()
	simulateWith(t, addresses, nil, run)
}

// simulateWith is like simulate with VMs that set up changes before they start.
func simulateWith(t *testing.T, addresses []string, setUp func(*simVM), run func(ctx context.Context, fleet *simFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet := newSimFleet(ctx, addresses, setUp)
		defer fleet.running.Wait()
		defer cancel()
		run(ctx, fleet)
	})
}
