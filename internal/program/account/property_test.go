package account_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/program/account"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
	"pgregory.net/rapid"
)

var errCut = errors.New("cut off")

// fleet is three holders with a faulty network, disks and platform.
type fleet struct {
	folder  string
	centres []string

	mu       sync.Mutex
	holders  map[string]*account.Holder
	cut      map[string]bool
	lossy    bool
	store    map[string]string
	storeCut bool
	random   *rand.Rand
	// transfers counts the asks for tokens of other holders.
	transfers int

	// used is what each program's calls may have generated.
	used    map[string]map[string]uint64
	budgets map[string]uint64
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		folder: t.TempDir(), centres: []string{"dc1", "dc2", "dc3"},
		holders: make(map[string]*account.Holder), cut: make(map[string]bool), store: make(map[string]string),
		random: rand.New(rand.NewPCG(seed, 1)), used: make(map[string]map[string]uint64), budgets: make(map[string]uint64),
	}
	for _, dc := range f.centres {
		f.start(t, dc, true)
	}
	return f
}

func (f *fleet) start(t interface{ Fatal(...any) }, dc string, first bool) {
	h, err := account.OpenHolder(account.HolderParts{
		DataCentre: dc, DataCentres: f.centres, FirstStart: first, Folder: filepath.Join(f.folder, dc),
		Config: f, Claims: f, Claimed: f, Asker: f.from(dc), Clock: clock.Real(), Log: events.Discard(),
		Work: metrics.NewWork(gometrics.NewRegistry()),
	})
	if err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	f.holders[dc] = h
	f.mu.Unlock()
}

// Snapshot lists each holder under the address that is its data centre's name.
func (f *fleet) Snapshot() *hawthornrail.Snapshot {
	var vms []hawthornrail.VM
	for _, dc := range f.centres {
		vms = append(vms, hawthornrail.NewVM(dc, dc, dc, false))
	}
	return hawthornrail.NewSnapshot(1, nil, nil, nil, vms)
}

func (f *fleet) Age() time.Duration { return 0 }

// Claim keeps the first owner; its answer may be lost.
func (f *fleet) Claim(_ context.Context, _, key, owner string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeCut {
		return "", errCut
	}
	if _, ok := f.store[key]; !ok {
		f.store[key] = owner
	}
	if f.lossy && f.random.IntN(4) == 0 {
		return "", errCut
	}
	return f.store[key], nil
}

// Claimed returns all claims.
func (f *fleet) Claimed(context.Context) (map[string]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeCut {
		return nil, errCut
	}
	return maps.Clone(f.store), nil
}

type asker struct {
	fleet *fleet
	from  string
}

func (f *fleet) from(dc string) asker { return asker{f, dc} }

// Ask passes a question on unless it or its answer is lost.
func (a asker) Ask(ctx context.Context, to string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	f := a.fleet
	f.mu.Lock()
	h := f.holders[to]
	lostBefore := f.cut[a.from] || f.cut[to] || h == nil || f.lossy && f.random.IntN(6) == 0
	lostAfter := f.lossy && f.random.IntN(6) == 0
	doubled := f.lossy && f.random.IntN(6) == 0
	if open.GetAccountTransfer() != nil {
		f.transfers++
	}
	f.mu.Unlock()
	if lostBefore {
		return hawthornrail.Instance{}, errCut
	}
	if doubled {
		// Only one of the two answers arrives.
		_, _ = serve(ctx, h, proto.CloneOf(open))
	}
	answer, err := serve(ctx, h, open)
	if err != nil || lostAfter {
		return hawthornrail.Instance{}, errors.Join(errCut, err)
	}
	proto.Merge(reply, answer)
	return hawthornrail.Instance{}, nil
}

func serve(ctx context.Context, h *account.Holder, open *vmpb.Open) (proto.Message, error) {
	switch k := open.GetKind().(type) {
	case *vmpb.Open_AccountReserve:
		return h.Reserve(ctx, k.AccountReserve)
	case *vmpb.Open_AccountSettle:
		return &vmpb.AccountSettleReply{}, h.Settle(k.AccountSettle)
	case *vmpb.Open_AccountTransfer:
		return h.Transfer(k.AccountTransfer)
	case *vmpb.Open_AccountSync:
		return h.Sync(k.AccountSync), nil
	case *vmpb.Open_AccountGrant:
		return &vmpb.AccountGrantReply{}, h.Granted(k.AccountGrant)
	case *vmpb.Open_AccountAnnounce:
		return h.Announced(k.AccountAnnounce)
	case *vmpb.Open_ObjectsAsk:
		return &vmpb.ObjectsReply{}, nil
	}
	return nil, errCut
}

// reserve asks a holder as an entry VM does and counts what was granted.
func (f *fleet) reserve(dc, program, call string, tokens uint64) bool {
	f.mu.Lock()
	h := f.holders[dc]
	budget := f.budgets[program]
	f.mu.Unlock()
	if h == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := h.Reserve(ctx, &vmpb.AccountReserve{Program: program, Call: call, Budget: budget, Tokens: tokens})
	if err != nil || !reply.GetGranted() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.used[program] == nil {
		f.used[program] = make(map[string]uint64)
	}
	f.used[program][call] = tokens
	return true
}

func (f *fleet) settle(dc, program, call string, used uint64) {
	f.mu.Lock()
	h := f.holders[dc]
	f.used[program][call] = used
	f.mu.Unlock()
	if h != nil {
		_ = h.Settle(&vmpb.AccountSettle{Program: program, Call: call, Used: used})
	}
}

func (f *fleet) stop(dc string) {
	f.mu.Lock()
	h := f.holders[dc]
	f.holders[dc] = nil
	f.mu.Unlock()
	if h != nil {
		_ = h.Close()
	}
}

// assertWithinBudgets fails if a program's calls may have generated more than
// its budget.
func (f *fleet) assertWithinBudgets(t rapid.TB) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for program, calls := range f.used {
		sum := uint64(0)
		for _, used := range calls {
			sum += used
		}
		if sum > f.budgets[program] {
			t.Fatalf("program %s may have generated %d of %d tokens", program, sum, f.budgets[program])
		}
	}
}

// No program ever generates more than its budget, whatever is cut off, killed,
// wiped or lost, one disk at a time.
func TestBudgetOverHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, rapid.Uint64().Draw(rt, "seed"))
		defer func() {
			for _, dc := range f.centres {
				f.stop(dc)
			}
		}()
		calls := 0
		for range rapid.IntRange(10, 40).Draw(rt, "steps") {
			dc := rapid.SampledFrom(f.centres).Draw(rt, "dc")
			switch rapid.IntRange(0, 17).Draw(rt, "step") {
			case 0:
				f.flip(func() { f.cut[dc] = !f.cut[dc] })
			case 1:
				f.flip(func() { f.lossy = !f.lossy })
			case 2, 12:
				f.flip(func() { f.storeCut = !f.storeCut })
			case 3:
				f.stop(dc)
				f.start(rt, dc, false)
			case 13:
				f.flip(func() {
					for _, other := range f.centres {
						f.cut[other] = !f.cut[dc] || other != dc
					}
				})
			case 14:
				f.flip(func() { f.cut, f.lossy, f.storeCut = make(map[string]bool), false, false })
				f.join()
			case 4:
				// One disk at a time: the loss before this one was made up for.
				f.heal(rt)
				f.stop(dc)
				if err := os.RemoveAll(filepath.Join(f.folder, dc)); err != nil {
					rt.Fatal(err)
				}
				f.start(rt, dc, false)
			default:
				calls = f.callsAtOnce(rt, calls)
			}
			f.assertWithinBudgets(rt)
		}
	})
}

// join lets every holder ask about its isolated programs for a moment.
func (f *fleet) join() {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	var wait sync.WaitGroup
	for _, dc := range f.centres {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.holders[dc].JoinOnce(ctx)
		}()
	}
	wait.Wait()
}

func (f *fleet) flip(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// heal ends all faults and lets every holder recover.
func (f *fleet) heal(rt *rapid.T) {
	f.mu.Lock()
	cut, lossy, storeCut := f.cut, f.lossy, f.storeCut
	f.cut, f.lossy, f.storeCut = make(map[string]bool), false, false
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, dc := range f.centres {
		f.holders[dc].Recover(ctx)
		if !f.holders[dc].Whole() {
			rt.Fatalf("holder of %s does not recover", dc)
		}
	}
	f.mu.Lock()
	f.cut, f.lossy, f.storeCut = cut, lossy, storeCut
	f.mu.Unlock()
}

// callsAtOnce sends some calls of a few programs through several holders.
func (f *fleet) callsAtOnce(rt *rapid.T, calls int) int {
	var wait sync.WaitGroup
	for range rapid.IntRange(1, 4).Draw(rt, "at_once") {
		calls++
		call := fmt.Sprintf("call%d", calls)
		program := fmt.Sprintf("program%d", rapid.IntRange(0, 4).Draw(rt, "program"))
		dc := rapid.SampledFrom(f.centres).Draw(rt, "through")
		f.mu.Lock()
		f.budgets[program] = 200 * uint64(1+program[len(program)-1]-'0')
		f.mu.Unlock()
		settles := rapid.Bool().Draw(rt, "settles")
		wait.Add(1)
		go func() {
			defer wait.Done()
			if f.reserve(dc, program, call, 132) && settles {
				f.settle(dc, program, call, 34)
			}
		}()
	}
	wait.Wait()
	return calls
}
