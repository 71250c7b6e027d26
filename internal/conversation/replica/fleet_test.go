package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/store"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/policy/placement"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	team = "team"
	// catchUp is the time in which a VM should have its copies again.
	catchUp = 4 * time.Second
	// maxRounds bounds the rounds of repair until a fleet has nothing left to fetch.
	maxRounds = 30
)

var (
	errUnreachable = errors.New("unreachable")
	errDisk        = errors.New("disk fails")
	startTime      = time.Unix(1_000_000, 0)
)

// quickDisk is a disk whose syncs cost nothing, and that can refuse writes.
type quickDisk struct {
	store.Disk
	fails func() bool
}

func (d quickDisk) Create(path string) (store.File, error) {
	f, err := d.Disk.Create(path)
	return quickFile{File: f, fails: d.fails}, err
}

func (d quickDisk) Open(path string) (store.File, error) {
	f, err := d.Disk.Open(path)
	return quickFile{File: f, fails: d.fails}, err
}

func (quickDisk) SyncFolder(string) error { return nil }

type quickFile struct {
	store.File
	fails func() bool
}

func (f quickFile) Write(data []byte) (int, error) {
	if f.fails() {
		return 0, errDisk
	}
	return f.File.Write(data)
}

func (quickFile) Sync() error { return nil }

// failer is what a test and a property fail by.
type failer interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
}

// keeperMap is the platform's store, which keeps turns in a map.
type keeperMap struct {
	mu       sync.Mutex
	turns    map[hawthornrail.TurnRef]hawthornrail.KeptTurn
	revision uint64
	down     bool
}

func newKeeperMap() *keeperMap {
	return &keeperMap{turns: make(map[hawthornrail.TurnRef]hawthornrail.KeptTurn)}
}

func (k *keeperMap) MaxBytes() int64 { return 1 << 20 }

func (k *keeperMap) Keep(_ context.Context, t hawthornrail.Turn) (hawthornrail.KeptTurn, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return hawthornrail.KeptTurn{}, errUnreachable
	}
	k.revision++
	k.turns[t.Ref()] = hawthornrail.NewKeptTurn(t, k.revision)
	return k.turns[t.Ref()], nil
}

func (k *keeperMap) Kept(_ context.Context, ref hawthornrail.TurnRef) (hawthornrail.KeptTurn, bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return hawthornrail.KeptTurn{}, false, errUnreachable
	}
	kept, ok := k.turns[ref]
	return kept, ok, nil
}

func (k *keeperMap) KeptCached(ctx context.Context, ref hawthornrail.TurnRef) (hawthornrail.KeptTurn, bool, error) {
	return k.Kept(ctx, ref)
}

func (k *keeperMap) KeptPage(context.Context, string) ([]hawthornrail.KeptTurn, string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return nil, "", errUnreachable
	}
	return slices.Collect(maps.Values(k.turns)), "", nil
}

func (k *keeperMap) Remove(_ context.Context, kept hawthornrail.KeptTurn) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return errUnreachable
	}
	if current, ok := k.turns[kept.Turn().Ref()]; ok && current.Revision() == kept.Revision() {
		delete(k.turns, kept.Turn().Ref())
	}
	return nil
}

// setDown sets whether all calls fail.
func (k *keeperMap) setDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
}

// has reports whether a turn is kept.
func (k *keeperMap) has(ref hawthornrail.TurnRef) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.turns[ref]
	return ok
}

// size returns the number of kept turns.
func (k *keeperMap) size() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.turns)
}

// fleet is several VMs with a disk without a network.
type fleet struct {
	t         failer
	folder    string
	clock     hawthornrail.Clock
	advance   func(d time.Duration)
	tolerated int
	keeper    *keeperMap

	mu   sync.Mutex
	list []hawthornrail.VM
	vms  []*vm
	// snapshot has the list that it was made of.
	snapshot *hawthornrail.Snapshot
}

// vm is a VM of a fleet, with its side of the network.
type vm struct {
	fleet   *fleet
	self    hawthornrail.VM
	store   *store.Store
	replica *Replica
	// delivery is what the loop of the replica's process would use.
	delivery *delivery
	down     bool
	cut      bool
	// diskFails is set while the disk refuses writes.
	diskFails bool
	// loseReplies is set while requests arrive and replies are lost.
	loseReplies bool
}

// newFleet starts VMs spread over data centres.
func newFleet(t failer, folder string, size, dataCentres, tolerated int) *fleet {
	fake := clockwork.NewFakeClockAt(startTime)
	return newFleetAt(t, folder, size, dataCentres, tolerated, fake, fake.Advance)
}

// newFleetAt is newFleet with a clock, and what lets time pass.
func newFleetAt(t failer, folder string, size, dataCentres, tolerated int, c hawthornrail.Clock, advance func(time.Duration)) *fleet {
	f := &fleet{t: t, folder: folder, clock: c, advance: advance, tolerated: tolerated, keeper: newKeeperMap()}
	for range size {
		f.add(dataCentres)
	}
	return f
}

func (f *fleet) add(dataCentres int) {
	n := len(f.vms)
	self := listedVM(n, dataCentres)
	v := &vm{fleet: f, self: self}
	f.mu.Lock()
	f.vms = append(f.vms, v)
	f.list = append(f.list, self)
	f.mu.Unlock()
	v.start()
}

func listedVM(n, dataCentres int) hawthornrail.VM {
	return hawthornrail.NewVM(fmt.Sprintf("vm%d", n), fmt.Sprintf("dc%d", n%dataCentres), fmt.Sprint(n), false)
}

func (f *fleet) close() {
	for _, v := range f.vms {
		_ = v.store.Close()
	}
}

// refuses reports whether the disk refuses writes.
func (v *vm) refuses() bool {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return v.diskFails
}

// set changes a VM that others use at the same time.
func (v *vm) set(change func(v *vm)) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	change(v)
}

func (v *vm) path() string { return filepath.Join(v.fleet.folder, v.self.Name()) }

func (v *vm) start() {
	v.fleet.t.Helper()
	s, err := store.Open(store.Options{Folder: v.path(), LimitBytes: 1 << 30, Clock: v.fleet.clock, Disk: quickDisk{Disk: store.NewDisk(), fails: v.refuses}})
	if err != nil {
		v.fleet.t.Fatal(err)
	}
	r := New(Dependencies{
		Address: v.self.Address(), ToleratedLosses: v.fleet.tolerated, CatchUp: catchUp, LinkBytesPerSecond: 1 << 30, Store: s, Keeper: v.fleet.keeper,
		Config: v, Invoker: v, Clock: v.fleet.clock, Log: events.Discard(),
	})
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	v.store, v.replica, v.delivery = s, r, &delivery{replica: r}
}

// restart ends the process and starts it again; wipe does so on an empty disk that works.
func (v *vm) restart() {
	_ = v.store.Close()
	v.start()
}

func (v *vm) wipe() {
	_ = v.store.Close()
	v.set(func(v *vm) { v.diskFails = false })
	if err := os.RemoveAll(v.path()); err != nil {
		v.fleet.t.Fatal(err)
	}
	v.start()
}

func (v *vm) Snapshot() *hawthornrail.Snapshot {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	f := v.fleet
	if f.snapshot == nil || len(f.snapshot.DiskVMs()) != len(f.list) {
		f.snapshot = hawthornrail.NewSnapshot(1, nil, nil, nil, nil).WithDiskVMs(f.list)
	}
	return f.snapshot
}

func (v *vm) Age() time.Duration { return 0 }

// Invoke sends a request to another VM of the fleet.
func (v *vm) Invoke(ctx context.Context, address string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	if v.cut {
		return hawthornrail.Instance{}, errUnreachable
	}
	return hawthornrail.Instance{}, v.fleet.send(ctx, address, open, reply)
}

// send sends a request to a VM, as an entry VM does.
func (f *fleet) send(ctx context.Context, address string, open *vmpb.Open, reply proto.Message) error {
	var to int
	if _, err := fmt.Sscan(address, &to); err != nil {
		return err
	}
	f.mu.Lock()
	receiver := f.vms[to]
	r, unreachable, loseReplies := receiver.replica, receiver.down || receiver.cut, receiver.loseReplies
	f.mu.Unlock()
	if unreachable {
		return errUnreachable
	}
	p := &place{limits: r.limits}
	defer p.release()
	answer, known := r.reply(ctx, open, p)
	switch {
	case !known:
		f.t.Fatalf("unknown request %v", open)
	case loseReplies:
		return errUnreachable
	case answer == nil:
		return peer.ErrDeclined
	}
	proto.Merge(reply, answer)
	return nil
}

// save sends a turn to the VMs that should store it, without those that do not respond, and
// returns how many have acknowledged it.
func (f *fleet) save(t hawthornrail.Turn) int {
	unreachable := func(address string) bool {
		for _, v := range f.vms {
			if v.self.Address() == address {
				return v.down || v.cut
			}
		}
		return true
	}
	saved := 0
	for _, to := range placement.Select(f.list, t.PlacementKey(), placement.Copies(f.tolerated), unreachable) {
		if f.saveAt(to.Address(), t) {
			saved++
		}
	}
	return saved
}

func (f *fleet) saveAt(address string, t hawthornrail.Turn) bool {
	var reply vmpb.TurnSaveReply
	err := f.send(context.Background(), address, &vmpb.Open{Kind: &vmpb.Open_TurnSave{TurnSave: &vmpb.TurnSave{Turn: convert.TurnToWire(t)}}}, &reply)
	return err == nil && reply.GetSaved()
}

// load asks a VM for a chain.
func (f *fleet) load(v *vm, ref hawthornrail.TurnRef) *vmpb.ChainLoadReply {
	var reply vmpb.ChainLoadReply
	open := &vmpb.Open{Kind: &vmpb.Open_ChainLoad{ChainLoad: &vmpb.ChainLoad{Ref: convert.TurnRefToWire(ref)}}}
	if err := f.send(context.Background(), v.self.Address(), open, &reply); err != nil {
		return &vmpb.ChainLoadReply{State: vmpb.ChainState_CHAIN_STATE_UNCERTAIN}
	}
	return &reply
}

// repair lets the VMs that are up repair until none has more to fetch.
func (f *fleet) repair() { f.repairRounds(maxRounds) }

func (f *fleet) repairRounds(rounds int) {
	for range rounds {
		f.advance(suspectDelay)
		done := true
		for _, v := range f.vms {
			if v.down {
				continue
			}
			before := v.replica.Stats().Repaired()
			more := v.replica.Repair(context.Background())
			// A store that is down is read in the next round.
			_, _ = v.delivery.round(context.Background())
			done = done && !more && v.replica.Stats().Repaired() == before && v.replica.isCertain()
		}
		if done && (f.keeper.size() == 0 || f.keeper.down) {
			return
		}
	}
}

func turnRef(id string) hawthornrail.TurnRef { return hawthornrail.NewTurnRef(team, id) }

func (f *fleet) newTurn(id, parent, key string) hawthornrail.Turn {
	return hawthornrail.NewTurn(turnRef(id), []byte("input of "+id), []byte("event of "+id+"\n")).
		WithParent(parent).WithPlacementKey(key).WithRetention(f.clock.Now(), time.Minute)
}

func (f *fleet) assertState(t failer, v *vm, ref hawthornrail.TurnRef, want vmpb.ChainState) {
	t.Helper()
	if got := f.load(v, ref).GetState(); got != want {
		t.Errorf("%s replies %v for %s of %s, want %v", v.self.Name(), got, ref.ID(), ref.Team(), want)
	}
}

func (f *fleet) assertHeld(t failer, v *vm, turns ...hawthornrail.Turn) {
	t.Helper()
	var content []byte
	for _, turn := range turns {
		content = append(append(content, turn.Input()...), turn.Output()...)
	}
	reply := f.load(v, turns[len(turns)-1].Ref())
	if reply.GetState() != vmpb.ChainState_CHAIN_STATE_FOUND || !bytes.Equal(reply.GetContent(), content) || int(reply.GetTurns()) != len(turns) {
		t.Errorf("%s replies %v with %d turns: %q", v.self.Name(), reply.GetState(), reply.GetTurns(), reply.GetContent())
	}
}

// Guards against a VM that says that a turn does not exist while it may lack turns: each
// moment at which it is not certain, and the one at which it is.
func TestUnknownOnlyIfCertain(t *testing.T) {
	missing := turnRef("missing")
	for _, c := range []struct {
		name    string
		disturb func(f *fleet, v *vm)
		want    vmpb.ChainState
	}{
		{"repaired", func(*fleet, *vm) {}, vmpb.ChainState_CHAIN_STATE_UNKNOWN},
		{"paused", func(f *fleet, _ *vm) { f.advance(maxPullAge + time.Second) }, vmpb.ChainState_CHAIN_STATE_UNCERTAIN},
		{"restarted", func(_ *fleet, v *vm) { v.restart() }, vmpb.ChainState_CHAIN_STATE_UNCERTAIN},
		{"disk lost", func(_ *fleet, v *vm) { v.wipe() }, vmpb.ChainState_CHAIN_STATE_UNCERTAIN},
		{"another VM is down", func(f *fleet, v *vm) {
			f.vms[2].down = true
			v.replica.Repair(context.Background())
		}, vmpb.ChainState_CHAIN_STATE_UNCERTAIN},
		{"another VM came back and its log was not read", func(f *fleet, v *vm) {
			f.vms[2].down = true
			v.replica.Repair(context.Background())
			f.vms[2].down = false
			v.replica.detector.Forget(f.vms[2].self.Address())
		}, vmpb.ChainState_CHAIN_STATE_UNCERTAIN},
		{"another VM came back and has replied once", func(f *fleet, v *vm) {
			f.vms[2].down = true
			v.replica.Repair(context.Background())
			f.advance(time.Second)
			f.vms[2].down = false
			if v.replica.pull(context.Background(), f.vms[2].self) {
				f.t.Fatal("the log was not read to its end")
			}
		}, vmpb.ChainState_CHAIN_STATE_UNCERTAIN},
		{"another VM came back and its log was read", func(f *fleet, _ *vm) {
			f.vms[2].down = true
			f.repair()
			f.vms[2].down = false
			f.repair()
		}, vmpb.ChainState_CHAIN_STATE_UNKNOWN},
		{"another VM was just added", func(f *fleet, v *vm) {
			f.add(3)
			f.advance(suspectDelay)
			v.replica.Repair(context.Background())
		}, vmpb.ChainState_CHAIN_STATE_UNCERTAIN},
		{"another VM was added", func(f *fleet, _ *vm) {
			f.add(3)
			f.repair()
		}, vmpb.ChainState_CHAIN_STATE_UNKNOWN},
		{"not listed", func(f *fleet, _ *vm) {
			f.list = f.list[1:]
			f.repair()
		}, vmpb.ChainState_CHAIN_STATE_UNCERTAIN},
		{"disk full with turns to fetch", func(f *fleet, v *vm) {
			v.down = true
			f.save(f.newTurn("a", "", "key"))
			v.down = false
			v.diskFails = true
			f.repair()
		}, vmpb.ChainState_CHAIN_STATE_UNCERTAIN},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, t.TempDir(), 3, 3, 2)
			defer f.close()
			f.assertState(t, f.vms[0], missing, vmpb.ChainState_CHAIN_STATE_UNCERTAIN)
			f.repair()
			c.disturb(f, f.vms[0])
			f.assertState(t, f.vms[0], missing, c.want)
		})
	}
}

// Guards against a fleet that stays uncertain after a power loss of all VMs, when each waits
// for another one.
func TestCertainAfterRestartOfAllVMs(t *testing.T) {
	f := newFleet(t, t.TempDir(), 4, 2, 1)
	defer f.close()
	a := f.newTurn("a", "", "key")
	if saved := f.save(a); saved != 2 {
		t.Fatalf("%d copies", saved)
	}
	for _, v := range f.vms {
		v.restart()
	}
	f.repair()
	found := 0
	for _, v := range f.vms {
		f.assertState(t, v, turnRef("missing"), vmpb.ChainState_CHAIN_STATE_UNKNOWN)
		if f.load(v, a.Ref()).GetState() == vmpb.ChainState_CHAIN_STATE_FOUND {
			f.assertHeld(t, v, a)
			found++
		}
	}
	if found != 2 {
		t.Errorf("found at %d VMs", found)
	}
}

// Guards against a team that reads another one's turn, or gets an uncertain reply for it.
func TestForeignTurn(t *testing.T) {
	f := newFleet(t, t.TempDir(), 1, 1, 0)
	defer f.close()
	f.save(f.newTurn("a", "", "key"))
	f.assertState(t, f.vms[0], hawthornrail.NewTurnRef("other", "a"), vmpb.ChainState_CHAIN_STATE_FOREIGN)
}

// Guards against a chain without one of its ancestors: it is uncertain until the ancestor is
// fetched from a VM that should not even hold it.
func TestMissingAncestorIsFetched(t *testing.T) {
	f := newFleet(t, t.TempDir(), 3, 3, 0)
	defer f.close()
	order := placement.Order(f.list, "key", placement.None)
	holder, other := f.vmAt(order[0].Address()), order[2].Address()
	// The key of another program, so that the holder does not find the turn in a list.
	a := f.newTurn("a", "", f.keyPlacedAt(other))
	b := f.newTurn("b", "a", "key")
	f.saveAt(other, a)
	f.saveAt(holder.self.Address(), b)
	f.assertState(t, holder, b.Ref(), vmpb.ChainState_CHAIN_STATE_UNCERTAIN)
	f.assertState(t, holder, a.Ref(), vmpb.ChainState_CHAIN_STATE_UNCERTAIN)
	holder.replica.Repair(context.Background())
	f.assertHeld(t, holder, a, b)
}

// keyPlacedAt returns a placement key whose first VM is that at an address.
func (f *fleet) keyPlacedAt(address string) string {
	for n := 0; ; n++ {
		key := fmt.Sprint("key", n)
		if placement.Order(f.list, key, placement.None)[0].Address() == address {
			return key
		}
	}
}

func (f *fleet) vmAt(address string) *vm {
	for _, v := range f.vms {
		if v.self.Address() == address {
			return v
		}
	}
	return nil
}

// Guards against a repair that leaves out turns: of two lost disks, of a VM that takes the
// place of one that is down, and of a VM that is added. The chain has 130 turns.
func TestRepairMakesMissingCopies(t *testing.T) {
	chain := func(f *fleet) (turns []hawthornrail.Turn) {
		parent := ""
		for n := range 130 {
			turn := f.newTurn(fmt.Sprint("turn", n), parent, "key")
			if saved := f.save(turn); saved != 3 {
				t.Fatalf("%d copies", saved)
			}
			turns, parent = append(turns, turn), turn.Ref().ID()
		}
		return turns
	}
	assertCopies := func(t *testing.T, f *fleet, suspected placement.Suspected, turns []hawthornrail.Turn) {
		t.Helper()
		for _, to := range placement.Select(f.list, "key", 3, suspected) {
			f.assertHeld(t, f.vmAt(to.Address()), turns...)
		}
	}
	t.Run("two disks are lost at once", func(t *testing.T) {
		f := newFleet(t, t.TempDir(), 5, 3, 2)
		defer f.close()
		turns := chain(f)
		for _, to := range placement.Select(f.list, "key", 2, placement.None) {
			f.vmAt(to.Address()).wipe()
		}
		f.repair()
		assertCopies(t, f, placement.None, turns)
	})
	t.Run("a VM stays down", func(t *testing.T) {
		f := newFleet(t, t.TempDir(), 5, 3, 2)
		defer f.close()
		turns := chain(f)
		down := f.vmAt(placement.Select(f.list, "key", 1, placement.None)[0].Address())
		down.down = true
		f.repair()
		assertCopies(t, f, func(address string) bool { return address == down.self.Address() }, turns)
	})
	t.Run("VMs are added", func(t *testing.T) {
		f := newFleet(t, t.TempDir(), 3, 3, 2)
		defer f.close()
		turns := chain(f)
		for range 4 {
			f.add(3)
		}
		f.repair()
		assertCopies(t, f, placement.None, turns)
	})
	t.Run("a damaged turn", func(t *testing.T) {
		f := newFleet(t, t.TempDir(), 3, 3, 2)
		defer f.close()
		turns := chain(f)
		f.vms[0].damageFirstTurn()
		f.assertState(t, f.vms[0], turns[0].Ref(), vmpb.ChainState_CHAIN_STATE_UNCERTAIN)
		f.repair()
		f.assertHeld(t, f.vms[0], turns...)
	})
}

// damageFirstTurn changes a byte of the first turn on the disk.
func (v *vm) damageFirstTurn() {
	files, err := filepath.Glob(filepath.Join(v.path(), "*.turns"))
	if err != nil || len(files) == 0 {
		v.fleet.t.Fatalf("no segments: %v", err)
	}
	data, err := os.ReadFile(files[0])
	if err != nil {
		v.fleet.t.Fatal(err)
	}
	data[bytes.Index(data, []byte("input of"))] ^= 1
	if err := os.WriteFile(files[0], data, 0o644); err != nil {
		v.fleet.t.Fatal(err)
	}
}

// Guards against an acknowledgement of a turn that is on no disk.
func TestRefusedWriteIsNotAcknowledged(t *testing.T) {
	f := newFleet(t, t.TempDir(), 1, 1, 0)
	defer f.close()
	f.vms[0].diskFails = true
	if saved := f.save(f.newTurn("a", "", "key")); saved != 0 {
		t.Errorf("%d copies on a disk that refuses writes", saved)
	}
	f.vms[0].diskFails = false
	if saved := f.save(f.newTurn("a", "", "key")); saved != 1 {
		t.Errorf("%d copies", saved)
	}
}

// Guards against an entry VM's clock that decides how long a turn is kept.
func TestTurnIsKeptByTheClockOfTheDisk(t *testing.T) {
	for _, skew := range []time.Duration{-time.Hour, time.Hour} {
		f := newFleet(t, t.TempDir(), 1, 1, 0)
		defer f.close()
		a := f.newTurn("a", "", "key").WithRetention(startTime.Add(skew), time.Minute)
		f.save(a)
		f.advance(time.Minute)
		f.expire()
		f.assertHeld(t, f.vms[0], a)
		f.advance(time.Minute)
		f.expire()
		if turns := f.vms[0].store.Stats().Turns(); turns != 0 {
			t.Errorf("a turn of a clock that is off by %v is kept", skew)
		}
	}
}

func (f *fleet) expire() {
	for _, v := range f.vms {
		if err := v.store.Expire(); err != nil {
			f.t.Fatal(err)
		}
	}
}
