package account_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/program/account"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

var holderCentres = []string{"dc1", "dc2", "dc3", "dc4"}

// holderNetwork grants every reservation, but for holders that are gone or
// busy; it counts the questions that each was asked.
type holderNetwork struct {
	mu    sync.Mutex
	gone  map[string]bool
	busy  map[string]bool
	asked map[string]int
	// uncertain holders can't decide; home is the data centre that they name.
	uncertain map[string]bool
	home      string
}

func newHolderNetwork() *holderNetwork {
	return &holderNetwork{
		gone: make(map[string]bool), busy: make(map[string]bool), asked: make(map[string]int), uncertain: make(map[string]bool),
	}
}

func (n *holderNetwork) Snapshot() *hawthornrail.Snapshot {
	var vms []hawthornrail.VM
	for _, dc := range holderCentres {
		vms = append(vms, hawthornrail.NewVM(dc, dc, dc, false))
	}
	return hawthornrail.NewSnapshot(1, nil, nil, nil, vms)
}

func (n *holderNetwork) Age() time.Duration { return 0 }

func (n *holderNetwork) Ask(ctx context.Context, to string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	n.mu.Lock()
	gone, busy := n.gone[to], n.busy[to]
	reserve := open.GetAccountReserve() != nil
	if reserve {
		n.asked[to]++
	}
	n.mu.Unlock()
	if gone || busy && reserve {
		<-ctx.Done()
		return hawthornrail.Instance{}, ctx.Err()
	}
	if answer, ok := reply.(*vmpb.AccountReserveReply); ok {
		answer.Granted, answer.Uncertain, answer.HomeDataCentre = !n.uncertain[to], n.uncertain[to], n.home
	}
	return hawthornrail.Instance{}, nil
}

func (n *holderNetwork) assertAsked(t *testing.T, dc string, want int) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.asked[dc] != want {
		t.Errorf("holder of %s was asked %d times, want %d", dc, n.asked[dc], want)
	}
}

func newClientOf(n *holderNetwork) *account.Client {
	return account.NewClient(account.ClientParts{
		DataCentre: "dc1", DataCentres: holderCentres,
		Config: n, Asker: n, Clock: clock.Real(), Log: events.Discard(),
	})
}

func assertReserved(t *testing.T, c *account.Client, call string, within time.Duration) {
	t.Helper()
	start := time.Now()
	if _, err := c.Reserve(context.Background(), "program", call, 400, 100); err != nil {
		t.Errorf("call %s: %v", call, err)
	}
	if took := time.Since(start); took > within {
		t.Errorf("call %s waited %v, want at most %v", call, took, within)
	}
}

// One holder is lost: the first request finds that out well before its timeout,
// and those after it go elsewhere at once.
func TestLostHolder(t *testing.T) {
	n := newHolderNetwork()
	n.gone["dc1"] = true
	c := newClientOf(n)
	assertReserved(t, c, "first", 700*time.Millisecond)
	for _, call := range []string{"a", "b", "c", "d"} {
		assertReserved(t, c, call, 100*time.Millisecond)
		time.Sleep(250 * time.Millisecond)
	}
	n.assertAsked(t, "dc1", 1)
}

// A holder that needs long for one decision but answers otherwise is waited for.
func TestBusyHolder(t *testing.T) {
	n := newHolderNetwork()
	n.busy["dc1"] = true
	c := newClientOf(n)
	start := time.Now()
	assertReserved(t, c, "call", 3*time.Second)
	if took := time.Since(start); took < time.Second {
		t.Errorf("a holder that answers was given up after %v", took)
	}
}

// A caller that leaves while its request waits tells nothing about holders.
func TestCallerLeavesHolder(t *testing.T) {
	n := newHolderNetwork()
	n.busy["dc1"] = true
	c := newClientOf(n)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := c.Reserve(ctx, "program", "left", 400, 100); err == nil {
		t.Error("a caller that left got its tokens")
	}
	n.assertAsked(t, "dc2", 0)
	n.mu.Lock()
	n.busy["dc1"] = false
	n.mu.Unlock()
	assertReserved(t, c, "next", 100*time.Millisecond)
	n.assertAsked(t, "dc1", 2)
}

// Guards against the overload of incident SHORT: a call whose tokens lay at a
// holder that did not answer was asked of all holders, each of which asked all
// others again.
func TestUndecidedCallAsksFewHolders(t *testing.T) {
	t.Run("the home is asked next", func(t *testing.T) {
		n := newHolderNetwork()
		n.uncertain["dc1"], n.uncertain["dc2"], n.home = true, true, "dc3"
		assertReserved(t, newClientOf(n), "call", 100*time.Millisecond)
		n.assertAsked(t, "dc2", 0)
		n.assertAsked(t, "dc3", 1)
	})
	t.Run("no more than two that can't decide", func(t *testing.T) {
		n := newHolderNetwork()
		for _, dc := range holderCentres {
			n.uncertain[dc] = true
		}
		if _, err := newClientOf(n).Reserve(context.Background(), "program", "call", 400, 100); err == nil {
			t.Error("a call got tokens that nobody granted")
		}
		n.assertAsked(t, "dc1", 1)
		n.assertAsked(t, "dc2", 1)
		n.assertAsked(t, "dc3", 0)
		n.assertAsked(t, "dc4", 0)
	})
}
