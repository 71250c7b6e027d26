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

// holderNetwork grants every reservation unless its holder is stopped, stalled
// or uncertain. It counts the reserve requests to each holder.
type holderNetwork struct {
	mu sync.Mutex
	// stopped holders reply to nothing, stalled ones to all but reserve requests.
	stopped         map[string]bool
	stalled         map[string]bool
	reserveRequests map[string]int
	// uncertain holders cannot decide; home is the data centre in their replies.
	uncertain map[string]bool
	home      string
}

func newHolderNetwork() *holderNetwork {
	return &holderNetwork{
		stopped: make(map[string]bool), stalled: make(map[string]bool), reserveRequests: make(map[string]int), uncertain: make(map[string]bool),
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

func (n *holderNetwork) Invoke(ctx context.Context, to string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	n.mu.Lock()
	stopped, stalled := n.stopped[to], n.stalled[to]
	reserve := open.GetAccountReserve() != nil
	if reserve {
		n.reserveRequests[to]++
	}
	n.mu.Unlock()
	if stopped || stalled && reserve {
		<-ctx.Done()
		return hawthornrail.Instance{}, ctx.Err()
	}
	if reserveReply, ok := reply.(*vmpb.AccountReserveReply); ok {
		reserveReply.Granted, reserveReply.Uncertain, reserveReply.HomeDataCentre = !n.uncertain[to], n.uncertain[to], n.home
	}
	return hawthornrail.Instance{}, nil
}

func (n *holderNetwork) assertReserveRequests(t *testing.T, dc string, want int) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reserveRequests[dc] != want {
		t.Errorf("holder of %s received %d reserve requests, want %d", dc, n.reserveRequests[dc], want)
	}
}

func newNetworkClient(n *holderNetwork) *account.Client {
	return account.NewClient(account.ClientDependencies{
		DataCentre: "dc1", DataCentres: holderCentres,
		Config: n, Invoker: n, Clock: clock.Real(), Log: events.Discard(),
	})
}

func assertReserved(t *testing.T, c *account.Client, call string, maxWait time.Duration) {
	t.Helper()
	start := time.Now()
	if _, err := c.Reserve(context.Background(), "program", call, 400, 100); err != nil {
		t.Errorf("call %s: %v", call, err)
	}
	if waited := time.Since(start); waited > maxWait {
		t.Errorf("call %s waited %v, want at most %v", call, waited, maxWait)
	}
}

// Guards against calls that wait for a stopped holder: the first request detects
// it well before its timeout, and later ones go to another holder immediately.
func TestUnresponsiveHolderIsSkipped(t *testing.T) {
	n := newHolderNetwork()
	n.stopped["dc1"] = true
	c := newNetworkClient(n)
	assertReserved(t, c, "first", 700*time.Millisecond)
	for _, call := range []string{"a", "b", "c", "d"} {
		assertReserved(t, c, call, 100*time.Millisecond)
		time.Sleep(250 * time.Millisecond)
	}
	n.assertReserveRequests(t, "dc1", 1)
}

// Guards against giving up a slow holder: one that takes long to decide but
// replies to probes is waited for.
func TestSlowHolderIsAwaited(t *testing.T) {
	n := newHolderNetwork()
	n.stalled["dc1"] = true
	c := newNetworkClient(n)
	start := time.Now()
	assertReserved(t, c, "call", 3*time.Second)
	if waited := time.Since(start); waited < time.Second {
		t.Errorf("a responsive holder was given up after %v", waited)
	}
}

// Guards against suspecting a holder because a caller canceled its request.
func TestCanceledReserveDoesNotSuspectHolder(t *testing.T) {
	n := newHolderNetwork()
	n.stalled["dc1"] = true
	c := newNetworkClient(n)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := c.Reserve(ctx, "program", "left", 400, 100); err == nil {
		t.Error("a canceled call got its tokens")
	}
	n.assertReserveRequests(t, "dc2", 0)
	n.mu.Lock()
	n.stalled["dc1"] = false
	n.mu.Unlock()
	assertReserved(t, c, "next", 100*time.Millisecond)
	n.assertReserveRequests(t, "dc1", 2)
}

// Guards against the overload of incident SHORT: a call whose tokens were at an
// unresponsive holder was sent to all holders, each of which contacted all others
// again.
func TestUndecidedReserveContactsTwoHolders(t *testing.T) {
	t.Run("the home is contacted next", func(t *testing.T) {
		n := newHolderNetwork()
		n.uncertain["dc1"], n.uncertain["dc2"], n.home = true, true, "dc3"
		assertReserved(t, newNetworkClient(n), "call", 100*time.Millisecond)
		n.assertReserveRequests(t, "dc2", 0)
		n.assertReserveRequests(t, "dc3", 1)
	})
	t.Run("at most two undecided holders are contacted", func(t *testing.T) {
		n := newHolderNetwork()
		for _, dc := range holderCentres {
			n.uncertain[dc] = true
		}
		if _, err := newNetworkClient(n).Reserve(context.Background(), "program", "call", 400, 100); err == nil {
			t.Error("a call got tokens that no holder granted")
		}
		n.assertReserveRequests(t, "dc1", 1)
		n.assertReserveRequests(t, "dc2", 1)
		n.assertReserveRequests(t, "dc3", 0)
		n.assertReserveRequests(t, "dc4", 0)
	})
}
