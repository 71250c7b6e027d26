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

// holderNetwork grants every reservation, but for holders that are gone or
// busy; it counts the questions that each was asked.
type holderNetwork struct {
	mu    sync.Mutex
	gone  map[string]bool
	busy  map[string]bool
	asked map[string]int
}

func newHolderNetwork() *holderNetwork {
	return &holderNetwork{gone: make(map[string]bool), busy: make(map[string]bool), asked: make(map[string]int)}
}

func (n *holderNetwork) Snapshot() *hawthornrail.Snapshot {
	var vms []hawthornrail.VM
	for _, dc := range []string{"dc1", "dc2", "dc3"} {
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
	if granted, ok := reply.(*vmpb.AccountReserveReply); ok {
		granted.Granted = true
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
		DataCentre: "dc1", DataCentres: []string{"dc1", "dc2", "dc3"},
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
