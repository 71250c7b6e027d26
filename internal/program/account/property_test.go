package account_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
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
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
	"pgregory.net/rapid"
)

var errUnreachable = errors.New("holder is unreachable")

// fleet runs three holders with a faulty network, disks and platform.
type fleet struct {
	folder  string
	centres []string

	mu           sync.Mutex
	holders      map[string]*account.Holder
	partitioned  map[string]bool
	lossy        bool
	claims       map[string]string
	platformDown bool
	// roleLost are the data centres whose holder was replaced and does not know by whom.
	roleLost map[string]bool
	random   *rand.Rand
	// transfers and grants count the transfer requests and the grants that were sent.
	transfers, grants int
	// grantDelay is how long grants are on their way.
	grantDelay time.Duration
	// declines is how many messages with tokens of a holder that exits are declined.
	declines int
	// transferReplyDelay and announceReplyDelay are how long the replies to transfer requests
	// and announcements take.
	transferReplyDelay, announceReplyDelay time.Duration

	// used is the maximum of tokens that each call of a program may have
	// generated.
	used    map[string]map[string]uint64
	budgets map[string]uint64
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		folder: t.TempDir(), centres: []string{"dc1", "dc2", "dc3"},
		holders: make(map[string]*account.Holder), partitioned: make(map[string]bool), claims: make(map[string]string), roleLost: make(map[string]bool),
		random: rand.New(rand.NewPCG(seed, 1)), used: make(map[string]map[string]uint64), budgets: make(map[string]uint64),
	}
	for _, dc := range f.centres {
		f.start(t, dc, true)
	}
	return f
}

func (f *fleet) start(t interface{ Fatal(...any) }, dc string, first bool) {
	h := f.open(t, dc, dc, first)
	f.mu.Lock()
	f.holders[dc] = h
	f.mu.Unlock()
}

// open opens a holder of a data centre with its journal in a folder; the others do not
// send to it yet.
func (f *fleet) open(t interface{ Fatal(...any) }, dc, folder string, first bool) *account.Holder {
	h, err := account.OpenHolder(account.HolderDependencies{
		DataCentre: dc, DataCentres: f.centres, FirstStart: first, Folder: filepath.Join(f.folder, folder),
		Config: f, Claims: f, ClaimList: f, Invoker: f.invokerFor(dc), Clock: clock.Real(), Log: events.Discard(),
		HoldsRole: func() bool { return f.holdsRole(dc) }, Tasks: metrics.NewTasks(gometrics.NewRegistry()),
	})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func (f *fleet) holdsRole(dc string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.roleLost[dc]
}

// Snapshot returns each holder with its data centre's name as the address.
func (f *fleet) Snapshot() *hawthornrail.Snapshot {
	var vms []hawthornrail.VM
	for _, dc := range f.centres {
		vms = append(vms, hawthornrail.NewVM(dc, dc, dc, false))
	}
	return hawthornrail.NewSnapshot(1, nil, nil, nil, vms)
}

func (f *fleet) Age() time.Duration { return 0 }

// Claim keeps the first owner; its response may be lost.
func (f *fleet) Claim(_ context.Context, _, key, owner string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.platformDown {
		return "", errUnreachable
	}
	if _, ok := f.claims[key]; !ok {
		f.claims[key] = owner
	}
	if f.lossy && f.random.IntN(4) == 0 {
		return "", errUnreachable
	}
	return f.claims[key], nil
}

// ClaimOwners returns all claims.
func (f *fleet) ClaimOwners(context.Context) (map[string]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.platformDown {
		return nil, errUnreachable
	}
	return maps.Clone(f.claims), nil
}

type invoker struct {
	fleet *fleet
	from  string
}

func (f *fleet) invokerFor(dc string) invoker { return invoker{f, dc} }

// Invoke delivers a request unless it or its reply is lost.
func (a invoker) Invoke(ctx context.Context, to string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	f := a.fleet
	f.mu.Lock()
	h := f.holders[to]
	requestLost := f.partitioned[a.from] || f.partitioned[to] || h == nil || f.lossy && f.random.IntN(6) == 0
	replyLost := f.lossy && f.random.IntN(6) == 0
	duplicated := f.lossy && f.random.IntN(6) == 0
	requestDelay, replyDelay := time.Duration(0), time.Duration(0)
	switch open.GetKind().(type) {
	case *vmpb.Open_AccountTransfer:
		f.transfers++
		replyDelay = f.transferReplyDelay
	case *vmpb.Open_AccountAnnounce:
		replyDelay = f.announceReplyDelay
	case *vmpb.Open_AccountHandOver:
		if f.declines > 0 && len(open.GetAccountHandOver().GetPrograms()) > 0 {
			f.declines--
			f.mu.Unlock()
			return hawthornrail.Instance{}, peer.ErrDeclined
		}
	case *vmpb.Open_AccountGrant:
		f.grants++
		requestDelay = f.grantDelay
	}
	f.mu.Unlock()
	if requestLost {
		return hawthornrail.Instance{}, errUnreachable
	}
	if requestDelay > 0 && !clock.Wait(ctx, clock.Real(), requestDelay) {
		return hawthornrail.Instance{}, errors.Join(errUnreachable, ctx.Err())
	}
	if duplicated {
		// Only one of the two replies arrives.
		_, _ = serve(ctx, h, proto.CloneOf(open))
	}
	served, err := serve(ctx, h, open)
	if err != nil || replyLost {
		return hawthornrail.Instance{}, errors.Join(errUnreachable, err)
	}
	if !clock.Wait(ctx, clock.Real(), replyDelay) {
		return hawthornrail.Instance{}, errors.Join(errUnreachable, ctx.Err())
	}
	proto.Merge(reply, served)
	return hawthornrail.Instance{}, nil
}

func serve(ctx context.Context, h *account.Holder, open *vmpb.Open) (proto.Message, error) {
	switch k := open.GetKind().(type) {
	case *vmpb.Open_AccountReserve:
		return h.Reserve(ctx, k.AccountReserve)
	case *vmpb.Open_AccountSettle:
		return &vmpb.AccountSettleReply{}, h.Settle(k.AccountSettle)
	case *vmpb.Open_AccountTransfer:
		return h.Transfer(ctx, k.AccountTransfer)
	case *vmpb.Open_AccountSync:
		return h.Sync(k.AccountSync), nil
	case *vmpb.Open_AccountGrant:
		return &vmpb.AccountGrantReply{}, h.HandleGrant(k.AccountGrant)
	case *vmpb.Open_AccountAnnounce:
		return h.HandleAnnounce(k.AccountAnnounce)
	case *vmpb.Open_AccountHandOver:
		if err := h.HandleHandOver(k.AccountHandOver); err != nil {
			return nil, peer.ErrDeclined
		}
		return &vmpb.AccountHandOverReply{}, nil
	case *vmpb.Open_ObjectsAsk:
		return &vmpb.ObjectsReply{}, nil
	}
	return nil, errUnreachable
}

// reserve sends a reservation to a holder as an entry VM does and records the
// granted tokens.
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

// Guards against exceeding a budget under network partitions, lost and duplicated
// messages, an unreachable platform, restarts and the loss of one disk at a
// time.
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
				f.withLock(func() { f.partitioned[dc] = !f.partitioned[dc] })
			case 1:
				f.withLock(func() { f.lossy = !f.lossy })
			case 2, 12:
				f.withLock(func() { f.platformDown = !f.platformDown })
			case 3:
				f.stop(dc)
				f.start(rt, dc, false)
			case 15:
				f.handOver(dc)
				f.stop(dc)
				f.start(rt, dc, false)
			case 13:
				f.withLock(func() {
					for _, other := range f.centres {
						f.partitioned[other] = !f.partitioned[dc] || other != dc
					}
				})
			case 14:
				f.withLock(func() { f.partitioned, f.lossy, f.platformDown = make(map[string]bool), false, false })
				f.joinAll()
			case 4:
				// Only one disk is lost at a time: the holders recover first.
				f.recoverAll(rt)
				f.replaceDisk(rt, dc)
			default:
				calls = f.concurrentCalls(rt, calls)
			}
			f.assertWithinBudgets(rt)
		}
	})
}

// joinAll runs one round of ResolveIsolated at every holder, for at most 30 ms.
func (f *fleet) joinAll() {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	var wait sync.WaitGroup
	for _, dc := range f.centres {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.holders[dc].ResolveIsolatedOnce(ctx)
		}()
	}
	wait.Wait()
}

func (f *fleet) withLock(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// recoverAll suspends all faults until every holder has recovered.
func (f *fleet) recoverAll(rt *rapid.T) {
	f.mu.Lock()
	partitioned, lossy, platformDown := f.partitioned, f.lossy, f.platformDown
	f.partitioned, f.lossy, f.platformDown = make(map[string]bool), false, false
	f.mu.Unlock()
	f.recover(rt, f.centres...)
	f.mu.Lock()
	f.partitioned, f.lossy, f.platformDown = partitioned, lossy, platformDown
	f.mu.Unlock()
}

// concurrentCalls sends one to four calls of a few programs through random
// holders.
func (f *fleet) concurrentCalls(rt *rapid.T, calls int) int {
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
