package replica

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

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
	// maxAckVMs is the largest number of VMs with a disk, and ackEntries that of entry VMs.
	maxAckVMs  = 4
	ackEntries = 2
	// drainTime is longer than any timeout or background work of an entry VM.
	drainTime = 30 * time.Second
)

var errEnded = errors.New("process has ended")

// vmState is how a VM with a disk looks to the others.
type vmState int

const (
	running vmState = iota
	stopped
	// frozen VMs serve what they were sent once they go on.
	frozen
	slow
)

// entryVM is an entry VM that can end, and its side of the network.
type entryVM struct {
	model  *ackModel
	client *client.Client
	ended  chan struct{}
}

// freeze is the time until the frozen VMs go on, or lose power with what they were sent.
type freeze struct {
	ended     chan struct{}
	powerLost bool
}

func newFreeze() *freeze { return &freeze{ended: make(chan struct{})} }

// ackModel is a fleet with entry VMs, in simulated time.
type ackModel struct {
	*fleet
	entries []*entryVM
	states  []vmState
	freeze  *freeze
	// storeDown is set while the platform's store does not respond.
	storeDown bool
	turns     []*modelTurn
	next      int
	// losses counts the disks lost since all copies were last complete.
	losses int
}

// Guards against a turn that an entry VM acknowledges and that the tolerated losses can
// destroy, and against one that it says not to exist: whichever VMs are down, frozen, slow or
// refuse writes when its response ends, whichever entry VMs end right after it, with the
// platform's store up or down, and when all VMs lose power and disks are lost then.
func TestAcknowledgedTurnsOutliveLosses(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) { rapid.SyncTest(r, checkAcknowledged) })
}

// checkAcknowledged lets anything happen to a fleet, and checks what it acknowledges.
func checkAcknowledged(t *rapid.T) {
	folder, err := os.MkdirTemp("", "conversations")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	tolerated := rapid.IntRange(1, 2).Draw(t, "tolerated")
	size := rapid.IntRange(tolerated+1, maxAckVMs).Draw(t, "VMs")
	m := newAckModel(t, folder, size, rapid.IntRange(1, size).Draw(t, "data centres"), tolerated)
	defer m.end()
	t.Repeat(map[string]func(*rapid.T){
		"turn":        m.turn,
		"turns":       func(t *rapid.T) { m.turn(t); m.turn(t) },
		"change":      m.change,
		"outage":      m.outage,
		"back":        func(*rapid.T) { m.startVMs() },
		"refuse":      func(t *rapid.T) { m.draw(t).set(func(v *vm) { v.diskFails = !v.diskFails }) },
		"thaw":        func(*rapid.T) { m.thaw() },
		"store":       func(*rapid.T) { m.setStoreDown(!m.storeDown) },
		"entry ends":  func(t *rapid.T) { m.replaceEntry(rapid.IntRange(0, ackEntries-1).Draw(t, "entry VM")) },
		"power":       func(*rapid.T) { m.losePower() },
		"lose a disk": m.loseDisk,
		"time":        m.pass,
		"all back":    m.allBack,
		"continue":    m.checkContinued,
	})
	m.allBack(t)
}

func newAckModel(t failer, folder string, size, dataCentres, tolerated int) *ackModel {
	m := &ackModel{states: make([]vmState, size), freeze: newFreeze()}
	m.fleet = newFleetAt(t, folder, size, dataCentres, tolerated, clock.Real(), time.Sleep)
	m.repair()
	for range ackEntries {
		m.entries = append(m.entries, nil)
	}
	for n := range m.entries {
		m.startEntry(n)
	}
	return m
}

// startEntry starts an entry VM.
func (m *ackModel) startEntry(n int) {
	e := &entryVM{model: m, ended: make(chan struct{})}
	h := handoff.New(handoff.Dependencies{Keeper: e, WritesPerSecond: 1e6, Config: m.vms[0], Clock: m.clock, Log: events.Discard()})
	var dataCentres []string
	for _, vm := range m.list {
		dataCentres = append(dataCentres, vm.DataCentre())
	}
	e.client = client.New(client.Dependencies{
		DataCentre: m.list[0].DataCentre(), DataCentres: dataCentres, ToleratedDiskLosses: m.tolerated, Handoff: h, Config: m.vms[0], Freshness: e,
		Invoker: e, Clock: m.clock, Log: events.Discard(), Metrics: metrics.NewConversations(gometrics.NewRegistry()), BackgroundBytes: 60,
	})
	m.entries[n] = e
}

// replaceEntry ends an entry VM, with all that it is doing, and starts another one.
func (m *ackModel) replaceEntry(n int) {
	close(m.entries[n].ended)
	m.startEntry(n)
}

func (m *ackModel) end() {
	m.thaw()
	for n := range m.entries {
		close(m.entries[n].ended)
	}
	m.mu.Lock()
	// Entry VMs cease to probe VMs that are not listed.
	m.list = nil
	m.mu.Unlock()
	time.Sleep(drainTime)
	m.close()
}

func (e *entryVM) Usable() bool  { return true }
func (e *entryVM) Current() bool { return true }

// alive returns an error once the entry VM has ended.
func (e *entryVM) alive() error {
	select {
	case <-e.ended:
		return errEnded
	default:
		return nil
	}
}

// Invoke sends a request to a VM as it looks to others. The state is that of the sending.
func (e *entryVM) Invoke(ctx context.Context, address string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	if err := e.alive(); err != nil {
		return hawthornrail.Instance{}, err
	}
	m := e.model
	state, frozenUntil := m.stateOf(address)
	switch state {
	case stopped:
		<-ctx.Done()
		return hawthornrail.Instance{}, ctx.Err()
	case frozen:
		if open.GetObjectsAsk() == nil {
			go m.sendAfter(frozenUntil, address, open, proto.Clone(reply))
		}
		<-ctx.Done()
		return hawthornrail.Instance{}, ctx.Err()
	case slow:
		if open.GetObjectsAsk() == nil && !clock.Wait(ctx, m.clock, 400*time.Millisecond) {
			return hawthornrail.Instance{}, ctx.Err()
		}
	}
	if open.GetObjectsAsk() != nil {
		return hawthornrail.Instance{}, nil
	}
	err := m.send(ctx, address, open, reply)
	if errors.Is(err, errEnded) || e.alive() != nil {
		return hawthornrail.Instance{}, peer.ErrNoReply
	}
	return hawthornrail.Instance{}, err
}

// sendAfter sends a request that a frozen VM serves once it goes on.
func (m *ackModel) sendAfter(f *freeze, address string, open *vmpb.Open, reply proto.Message) {
	<-f.ended
	m.mu.Lock()
	powerLost := f.powerLost
	m.mu.Unlock()
	if !powerLost {
		// Nobody waits for the reply any longer.
		_ = m.send(context.Background(), address, open, reply)
	}
}

// stateOf returns how the VM at an address looks to others.
func (m *ackModel) stateOf(address string) (vmState, *freeze) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n, v := range m.vms {
		if v.self.Address() == address {
			return m.states[n], m.freeze
		}
	}
	return stopped, m.freeze
}

func (m *ackModel) setStoreDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeDown = down
}

// reach returns an error if the entry VM has ended, or the platform's store does not respond.
func (e *entryVM) reach() error {
	e.model.mu.Lock()
	down := e.model.storeDown
	e.model.mu.Unlock()
	if down {
		return errUnreachable
	}
	return e.alive()
}

func (e *entryVM) MaxBytes() int64 { return e.model.keeper.MaxBytes() }

func (e *entryVM) Keep(ctx context.Context, t hawthornrail.Turn) (hawthornrail.KeptTurn, error) {
	if err := e.reach(); err != nil {
		return hawthornrail.KeptTurn{}, err
	}
	return e.model.keeper.Keep(ctx, t)
}

func (e *entryVM) Kept(ctx context.Context, ref hawthornrail.TurnRef) (hawthornrail.KeptTurn, bool, error) {
	if err := e.reach(); err != nil {
		return hawthornrail.KeptTurn{}, false, err
	}
	return e.model.keeper.Kept(ctx, ref)
}

func (e *entryVM) KeptCached(ctx context.Context, ref hawthornrail.TurnRef) (hawthornrail.KeptTurn, bool, error) {
	return e.Kept(ctx, ref)
}

func (e *entryVM) KeptPage(context.Context, string) ([]hawthornrail.KeptTurn, string, error) {
	return nil, "", errUnreachable
}

func (e *entryVM) Remove(ctx context.Context, kept hawthornrail.KeptTurn) error {
	if err := e.reach(); err != nil {
		return err
	}
	return e.model.keeper.Remove(ctx, kept)
}

func (m *ackModel) draw(t *rapid.T) *vm { return rapid.SampledFrom(m.vms).Draw(t, "VM") }

// turn sends a turn through an entry VM, if it takes one, and remembers it if it is
// acknowledged.
func (m *ackModel) turn(t *rapid.T) {
	// What is drawn does not depend on what was acknowledged, which can differ between runs.
	e := m.entries[rapid.IntRange(0, ackEntries-1).Draw(t, "entry VM")]
	parentIndex := rapid.IntRange(-5, 4).Draw(t, "parent")
	id := fmt.Sprint("turn", m.next)
	m.next++
	key, parent := fmt.Sprint("key", m.next%3), &modelTurn{}
	if len(m.turns) > 0 && parentIndex >= 0 {
		parent = m.turns[parentIndex%len(m.turns)]
		key = parent.turn.PlacementKey()
	}
	if e.client.Available(1) != nil {
		return
	}
	turn := m.newTurn(id, parent.turn.Ref().ID(), key).WithRetention(m.clock.Now(), 1000*time.Hour)
	if e.client.Save(context.Background(), turn) != nil {
		return
	}
	content := append(append(append([]byte(nil), parent.content...), turn.Input()...), turn.Output()...)
	m.turns = append(m.turns, &modelTurn{turn: turn, content: content, count: parent.count + 1})
}

// change changes how a VM looks to others.
func (m *ackModel) change(t *rapid.T) {
	m.setState(rapid.IntRange(0, len(m.vms)-1).Draw(t, "VM"), rapid.SampledFrom([]vmState{running, stopped, frozen, slow}).Draw(t, "state"))
}

// outage changes how all VMs but one look to others.
func (m *ackModel) outage(t *rapid.T) {
	stays := rapid.IntRange(0, len(m.vms)-1).Draw(t, "VM")
	state := rapid.SampledFrom([]vmState{stopped, frozen, slow}).Draw(t, "state")
	for v := range m.vms {
		if v != stays {
			m.setState(v, state)
		}
	}
}

// setState sets how a VM looks to others. A frozen VM stays so until it is thawed.
func (m *ackModel) setState(v int, state vmState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.states[v] == frozen {
		return
	}
	m.states[v] = state
	m.vms[v].down = state == stopped || state == frozen
}

// startVMs lets all VMs run, which keep their disks.
func (m *ackModel) startVMs() {
	m.thaw()
	for v := range m.vms {
		m.setState(v, running)
	}
}

// thaw lets the frozen VMs go on.
func (m *ackModel) thaw() { m.endFreeze(false, frozen) }

// endFreeze lets VMs run that are in one of the given states. Unless they have lost power,
// those that were frozen serve what they were sent.
func (m *ackModel) endFreeze(powerLost bool, states ...vmState) {
	m.mu.Lock()
	for n, v := range m.vms {
		if slices.Contains(states, m.states[n]) {
			m.states[n], v.down = running, false
		}
	}
	m.freeze.powerLost = powerLost
	close(m.freeze.ended)
	m.freeze = newFreeze()
	m.mu.Unlock()
	synctest.Wait()
}

// losePower ends all processes, and starts them again.
func (m *ackModel) losePower() {
	for n := range m.entries {
		close(m.entries[n].ended)
	}
	m.endFreeze(true, frozen, stopped, slow)
	for _, v := range m.vms {
		v.restart()
	}
	for n := range m.entries {
		m.startEntry(n)
	}
}

func (m *ackModel) loseDisk(t *rapid.T) {
	if m.losses == m.tolerated {
		t.Skip("no further loss is tolerated")
	}
	v := rapid.IntRange(0, len(m.vms)-1).Draw(t, "VM")
	if m.states[v] == frozen {
		t.Skip("the VM is frozen")
	}
	m.losses++
	m.vms[v].wipe()
}

// pass lets time pass, in which VMs repair their copies.
func (m *ackModel) pass(t *rapid.T) {
	interval := time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond
	for range rapid.IntRange(1, 5).Draw(t, "rounds") {
		time.Sleep(interval)
		m.keeper.setDown(m.storeDown)
		m.repairOnce()
		m.keeper.setDown(false)
	}
}

// repairOnce lets the VMs that are up repair their copies once.
func (m *ackModel) repairOnce() {
	for _, v := range m.vms {
		if v.down {
			continue
		}
		v.replica.Repair(context.Background())
		// A store that is down is read in the next round.
		_, _ = v.delivery.round(context.Background())
	}
}

// allBack ends all faults: once all copies are complete, each turn is continued.
func (m *ackModel) allBack(t *rapid.T) {
	m.setStoreDown(false)
	m.startVMs()
	for _, v := range m.vms {
		v.set(func(v *vm) { v.diskFails = false })
	}
	time.Sleep(drainTime)
	m.repair()
	m.losses = 0
	if kept := m.keeper.size(); kept > 0 {
		t.Errorf("the platform's store keeps %d turns after the repair", kept)
	}
	for _, turn := range m.turns {
		if err := m.assertContinued(t, turn); err != nil {
			t.Errorf("%s after the repair: %v", turn.turn.Ref().ID(), err)
		}
	}
}

// checkContinued asks for each turn: it may be uncertain, and never unknown.
func (m *ackModel) checkContinued(t *rapid.T) {
	for _, turn := range m.turns {
		var f *hawthornrail.Failure
		if err := m.assertContinued(t, turn); errors.As(err, &f) && f.Code() != hawthornrail.CodeTurnUncertain {
			t.Errorf("%s: %v", turn.turn.Ref().ID(), err)
		}
	}
}

// assertContinued checks the chain of a turn, if an entry VM returns it.
func (m *ackModel) assertContinued(t *rapid.T, turn *modelTurn) error {
	e := m.entries[len(turn.turn.Ref().ID())%ackEntries]
	chain, err := e.client.Chain(context.Background(), hawthornrail.NewChainQuery(turn.turn.Ref(), "program"))
	if err == nil && (string(chain.Content()) != string(turn.content) || chain.Turns() != turn.count) {
		t.Errorf("%s has %d turns: %q, want %d: %q", turn.turn.Ref().ID(), chain.Turns(), chain.Content(), turn.count, turn.content)
	}
	return err
}
