package client_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/client"
	"hawthornrail.example/hawthornrail/internal/conversation/handoff"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	program = "program"
	// longWait is longer than any timeout.
	longWait = time.Minute
)

// diskVM is how a VM with a disk behaves.
type diskVM struct {
	vm    hawthornrail.VM
	state vmpb.ChainState
	delay time.Duration
	// down VMs reply to nothing, stuck ones to probes only. declining ones decline, and
	// full ones store nothing.
	down      bool
	stuck     bool
	declining bool
	full      bool
	// roomAfter is when there is room for further turns, if there is none.
	roomAfter time.Duration
	// holds is the only turn that it has, if state does not say that it has all.
	holds string
	asked int
	turns []*vmpb.Turn
	// content is a long chain, which a VM of an older build sends whole; the VM is stuck once
	// partsLeft is 0.
	content   []byte
	digest    uint64
	older     bool
	partsLeft int
}

// network is the VMs with a disk, which run in simulated time.
type network struct {
	mu       sync.Mutex
	vms      []*diskVM
	outdated bool
	centres  []string
	registry gometrics.Registry
	// keeper is the platform's store.
	keeper *keeper
	parts  partCounts
}

// keeper is the platform's store, which keeps turns in a map.
type keeper struct {
	mu    sync.Mutex
	kept  map[string]hawthornrail.KeptTurn
	calls int
	// cached counts the calls that a reply of some seconds ago was enough for, and outdated is
	// set while they find no turn.
	cached   int
	outdated bool
	// delay is how long a call takes; stuck calls end with their contexts, and down ones fail.
	delay time.Duration
	stuck bool
	down  bool
	// loses is set while writes are done and their responses lost.
	loses bool
}

var errStoreDown = errors.New("store is down")

func (k *keeper) set(change func(k *keeper)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k)
}

// call counts a call and waits as long as it takes.
func (k *keeper) call(ctx context.Context) error {
	k.mu.Lock()
	k.calls++
	delay, stuck, down := k.delay, k.stuck, k.down
	k.mu.Unlock()
	if stuck {
		<-ctx.Done()
		return ctx.Err()
	}
	if !clock.Wait(ctx, clock.Real(), delay) {
		return ctx.Err()
	}
	if down {
		return errStoreDown
	}
	return nil
}

func (k *keeper) MaxBytes() int64 { return 1000 }

func (k *keeper) Keep(ctx context.Context, t hawthornrail.Turn) (hawthornrail.KeptTurn, error) {
	if err := k.call(ctx); err != nil {
		return hawthornrail.KeptTurn{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	kept := hawthornrail.NewKeptTurn(t, uint64(k.calls))
	k.kept[t.Ref().ID()] = kept
	if k.loses {
		return hawthornrail.KeptTurn{}, errStoreDown
	}
	return kept, nil
}

func (k *keeper) Kept(ctx context.Context, ref hawthornrail.TurnRef) (hawthornrail.KeptTurn, bool, error) {
	if err := k.call(ctx); err != nil {
		return hawthornrail.KeptTurn{}, false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	kept, ok := k.kept[ref.ID()]
	return kept, ok && kept.Turn().Ref() == ref, nil
}

func (k *keeper) KeptCached(ctx context.Context, ref hawthornrail.TurnRef) (hawthornrail.KeptTurn, bool, error) {
	kept, ok, err := k.Kept(ctx, ref)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cached++
	return kept, ok && !k.outdated, err
}

func (k *keeper) KeptPage(context.Context, string) ([]hawthornrail.KeptTurn, string, error) {
	return nil, "", nil
}

func (k *keeper) Remove(ctx context.Context, kept hawthornrail.KeptTurn) error {
	if err := k.call(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.kept, kept.Turn().Ref().ID())
	return nil
}

// keeps reports whether the platform's store has a turn.
func (n *network) keeps(id string) bool {
	n.keeper.mu.Lock()
	defer n.keeper.mu.Unlock()
	_, ok := n.keeper.kept[id]
	return ok
}

// newNetwork returns VMs in data centres dc1, dc2 and so on that hold no turns.
func newNetwork(vmsOfCentres ...int) *network {
	n := &network{registry: gometrics.NewRegistry(), keeper: &keeper{kept: make(map[string]hawthornrail.KeptTurn)}}
	for i, count := range vmsOfCentres {
		n.centres = append(n.centres, fmt.Sprintf("dc%d", i+1))
		for j := range count {
			name := fmt.Sprintf("dc%d-%d", i+1, j)
			n.vms = append(n.vms, &diskVM{
				vm: hawthornrail.NewVM(name, fmt.Sprintf("dc%d", i+1), name+":7000", false), state: vmpb.ChainState_CHAIN_STATE_UNKNOWN,
			})
		}
	}
	return n
}

// Snapshot returns a configuration with the VMs.
func (n *network) Snapshot() *hawthornrail.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	var vms []hawthornrail.VM
	for _, d := range n.vms {
		vms = append(vms, d.vm)
	}
	return hawthornrail.NewSnapshot(1, nil, nil, nil, nil).WithDiskVMs(vms)
}

func (n *network) Age() time.Duration { return 0 }
func (n *network) Usable() bool       { return true }
func (n *network) Current() bool      { return !n.outdated }

// Invoke serves a request as its VM behaves.
func (n *network) Invoke(ctx context.Context, to string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	d := n.receive(to, open)
	if d.down || d.stuck && open.GetObjectsAsk() == nil {
		<-ctx.Done()
		return hawthornrail.Instance{}, ctx.Err()
	}
	if open.GetObjectsAsk() != nil {
		return hawthornrail.Instance{}, nil
	}
	if !clock.Wait(ctx, clock.Real(), d.delay) {
		return hawthornrail.Instance{}, ctx.Err()
	}
	if d.declining {
		return hawthornrail.Instance{}, peer.ErrDeclined
	}
	switch m := reply.(type) {
	case *vmpb.ChainLoadReply:
		return hawthornrail.Instance{}, n.load(ctx, d, open.GetChainLoad(), m)
	case *vmpb.TurnSaveReply:
		m.Saved = !d.full
		m.Full, m.RoomAfterMs = d.roomAfter > 0, uint64(d.roomAfter.Milliseconds())
		n.store(to, open.GetTurnSave().GetTurn(), d.full)
	}
	return hawthornrail.Instance{}, nil
}

// load replies to a request for a chain or a part of one.
func (n *network) load(ctx context.Context, d diskVM, load *vmpb.ChainLoad, m *vmpb.ChainLoadReply) error {
	if d.content == nil {
		d.load(string(load.GetRef().GetId()), m)
		return nil
	}
	if d.older {
		m.State, m.Content, m.PlacementKey, m.Turns = vmpb.ChainState_CHAIN_STATE_FOUND, d.content, "key", 2
		return nil
	}
	defer n.parts.begin(load)()
	if !n.countPart(d.vm.Address()) {
		<-ctx.Done()
		return ctx.Err()
	}
	if !clock.Wait(ctx, clock.Real(), partTime) {
		return ctx.Err()
	}
	end := min(load.GetOffset()+load.GetMaxBytes(), uint64(len(d.content)))
	m.State, m.Content, m.PlacementKey, m.Turns = vmpb.ChainState_CHAIN_STATE_FOUND, d.content[load.GetOffset():end], "key", 2
	m.TotalBytes, m.Digest = uint64(len(d.content)), d.digest
	return nil
}

// countPart reports whether a VM sends a further part.
func (n *network) countPart(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.vms {
		if d.vm.Address() == address {
			d.partsLeft--
			return d.partsLeft >= 0
		}
	}
	return false
}

// load replies to a request for a chain: of a first turn that the VM has stored, of one that
// it holds, or of any as its state says.
func (d diskVM) load(id string, m *vmpb.ChainLoadReply) {
	for _, t := range d.turns {
		if string(t.GetRef().GetId()) == id && len(t.GetParent()) == 0 {
			m.State, m.PlacementKey, m.Turns = vmpb.ChainState_CHAIN_STATE_FOUND, t.GetPlacementKey(), 1
			m.Content = slices.Concat(t.GetInput(), t.GetOutput())
			return
		}
	}
	if d.holds != "" && d.holds == id {
		d.state = vmpb.ChainState_CHAIN_STATE_FOUND
	}
	m.State, m.Content, m.PlacementKey, m.Turns = d.state, []byte("chain of "+id), "key", 2
}

// receive returns how a VM behaves, and counts a request.
func (n *network) receive(to string, open *vmpb.Open) diskVM {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.vms {
		if d.vm.Address() != to {
			continue
		}
		if open.GetObjectsAsk() == nil {
			d.asked++
		}
		return *d
	}
	return diskVM{down: true}
}

func (n *network) store(to string, turn *vmpb.Turn, full bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.vms {
		if d.vm.Address() == to && !full {
			d.turns = append(d.turns, turn)
		}
	}
}

// set changes how VMs behave.
func (n *network) set(change func(d *diskVM), vms ...*diskVM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range vms {
		change(d)
	}
}

// find returns the VMs that a predicate selects.
func (n *network) find(selects func(d *diskVM) bool) []*diskVM {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(n.vms), func(d *diskVM) bool { return !selects(d) })
}

// asked returns the VMs that were sent requests since forget.
func (n *network) asked() []*diskVM { return n.find(func(d *diskVM) bool { return d.asked > 0 }) }

// holding returns the VMs that have stored a turn.
func (n *network) holding(id string) []*diskVM {
	return n.find(func(d *diskVM) bool {
		return slices.ContainsFunc(d.turns, func(t *vmpb.Turn) bool { return bytes.Equal(t.GetRef().GetId(), []byte(id)) })
	})
}

func (n *network) forget() { n.set(func(d *diskVM) { d.asked = 0 }, n.vms...) }

// remove ends the probes of VMs that are suspected to be down.
func (n *network) remove() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms = nil
}

// run runs a test in simulated time with a client in dc1 that makes a number of copies.
func run(t *testing.T, n *network, copies int, test func(t *testing.T, c *client.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := handoff.New(handoff.Dependencies{Keeper: n.keeper, WritesPerSecond: 1000, Config: n, Clock: clock.Real(), Log: events.Discard()})
		c := client.New(client.Dependencies{
			Handoff:    h,
			DataCentre: "dc1", DataCentres: n.centres, ToleratedDiskLosses: copies - 1, Config: n, Freshness: n, Invoker: n, Clock: clock.Real(),
			Log: events.Discard(), Metrics: metrics.NewConversations(n.registry), BackgroundBytes: 100,
		})
		test(t, c)
		n.remove()
		time.Sleep(longWait)
	})
}

// took calls f and checks how long it takes.
func assertTakes(t *testing.T, least, most time.Duration, f func()) {
	t.Helper()
	start := time.Now()
	f()
	if took := time.Since(start); took < least || took > most {
		t.Errorf("took %v, want %v to %v", took, least, most)
	}
}

func assertCode(t *testing.T, err error, code hawthornrail.Code) {
	t.Helper()
	var f *hawthornrail.Failure
	if !errors.As(err, &f) || f.Code() != code || f.Verdict() != hawthornrail.VerdictNotRun {
		t.Fatalf("error %v, want %s, not run", err, code)
	}
	if retries := f.RetryAfter() > 0; retries != (code == hawthornrail.CodeTurnUncertain) {
		t.Errorf("%s with a retry delay of %v", code, f.RetryAfter())
	}
}

func (n *network) counter(name string) int64 {
	return gometrics.GetOrRegisterCounter(name, n.registry).Count()
}
