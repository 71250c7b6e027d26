package relay_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/vm/relay"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

var (
	errDisconnected = errors.New("holder is disconnected")
	self            = hawthornrail.NewInstance("vm1", "dc1", 7)
)

// fakeNetwork replies for the holder, directly unless that is disconnected, and
// through relays.
type fakeNetwork struct {
	mu           sync.Mutex
	disconnected bool
	unresponsive bool
	// delay is how long the holder takes to reply directly.
	delay          time.Duration
	declined       bool
	directRequests int
	relayed        []*vmpb.Relay
	// relaysDecline makes every relay decline.
	relaysDecline bool
	// onlyRelay is the only relay that reaches the holder, if set.
	onlyRelay string
}

func (n *fakeNetwork) Self() hawthornrail.Instance { return self }

func (n *fakeNetwork) InvokeEncoded(ctx context.Context, address string, open *vmpb.Open) ([]byte, hawthornrail.Instance, error) {
	n.mu.Lock()
	disconnected, unresponsive, delay, declined := n.disconnected, n.unresponsive, n.delay, n.declined
	if address == "holder" {
		n.directRequests++
	} else {
		n.relayed = append(n.relayed, open.GetRelay())
	}
	n.mu.Unlock()
	holder := hawthornrail.NewInstance("holder", "dc2", 1)
	payload, err := proto.Marshal(&vmpb.AccountReserveReply{Granted: true, Left: 5})
	switch {
	case address == "holder" && unresponsive:
		<-ctx.Done()
		return nil, holder, ctx.Err()
	case address == "holder" && disconnected:
		return nil, holder, errDisconnected
	case address == "holder" && declined:
		return nil, holder, peer.ErrDeclined
	case address == "holder":
		time.Sleep(delay)
		return payload, holder, err
	}
	if n.relaysDecline {
		return nil, holder, peer.ErrDeclined
	}
	if n.onlyRelay != "" && address != n.onlyRelay {
		<-ctx.Done()
		return nil, holder, ctx.Err()
	}
	reply, err := proto.Marshal(&vmpb.RelayReply{Payload: payload, AnsweredBy: &vmpb.Instance{Vm: "holder", DataCentre: "dc2", Incarnation: 1}})
	return reply, hawthornrail.NewInstance(address, "dc1", 1), err
}

func assertReply(t *testing.T, c *relay.Client) {
	t.Helper()
	var reply vmpb.AccountReserveReply
	open := &vmpb.Open{Kind: &vmpb.Open_AccountReserve{AccountReserve: &vmpb.AccountReserve{Program: "p"}}}
	from, err := c.Invoke(context.Background(), "holder", open, &reply)
	if err != nil || from.VM() != "holder" || reply.GetLeft() != 5 {
		t.Errorf("reply %v from %v, error %v", &reply, from, err)
	}
}

func newClient(n *fakeNetwork) *relay.Client {
	return relay.NewClient(n, func() []string { return []string{"vm2", "vm3", "vm4"} }, clock.Real())
}

// A request to a VM that does not reply is sent through relays, which pass on
// who the sender is.
func TestRelay(t *testing.T) {
	t.Run("direct reply needs no relay", func(t *testing.T) {
		n := &fakeNetwork{}
		assertReply(t, newClient(n))
		if len(n.relayed) != 0 {
			t.Errorf("%d relays were used", len(n.relayed))
		}
	})
	t.Run("connection fails", func(t *testing.T) {
		n := &fakeNetwork{disconnected: true}
		assertReply(t, newClient(n))
		n.mu.Lock()
		defer n.mu.Unlock()
		if len(n.relayed) == 0 || n.relayed[0].GetFrom().GetVm() != "vm1" || n.relayed[0].GetAddress() != "holder" {
			t.Errorf("relayed %v", n.relayed)
		}
	})
	t.Run("connection is unresponsive", func(t *testing.T) { assertReply(t, newClient(&fakeNetwork{unresponsive: true})) })
	t.Run("no relay is available", func(t *testing.T) {
		c := relay.NewClient(&fakeNetwork{disconnected: true}, func() []string { return nil }, clock.Real())
		if _, err := c.Invoke(context.Background(), "holder", &vmpb.Open{}, &vmpb.AccountReserveReply{}); !errors.Is(err, errDisconnected) {
			t.Errorf("error %v", err)
		}
	})
}

// relayedCount returns how many requests were relayed so far.
func (n *fakeNetwork) relayedCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.relayed)
}

// Guards against the overload of incident SHORT: a slow holder received each
// request three times, which made it slower still.
func TestSlowVMGetsFewCopies(t *testing.T) {
	const requests, maxCopied = 100, 15
	n := &fakeNetwork{delay: 80 * time.Millisecond}
	c := newClient(n)
	var waitGroup sync.WaitGroup
	for range requests {
		waitGroup.Add(1)
		go func() {
			defer waitGroup.Done()
			assertReply(t, c)
		}()
		time.Sleep(5 * time.Millisecond)
	}
	waitGroup.Wait()
	if got := n.relayedCount(); got > maxCopied {
		t.Errorf("%d of %d requests were relayed, want at most %d", got, requests, maxCopied)
	}
}

// A request that its target VM declines is not relayed.
func TestDeclinedIsNotRelayed(t *testing.T) {
	n := &fakeNetwork{declined: true}
	_, err := newClient(n).Invoke(context.Background(), "holder", &vmpb.Open{}, &vmpb.AccountReserveReply{})
	if !errors.Is(err, peer.ErrDeclined) {
		t.Errorf("error %v", err)
	}
	if got := n.relayedCount(); got != 0 {
		t.Errorf("%d relays were used", got)
	}
}

// A relay that declines because it got no reply is not taken for the target VM
// declining.
func TestRelayDeclineIsNotTheTargetsReply(t *testing.T) {
	c := newClient(&fakeNetwork{disconnected: true, relaysDecline: true})
	_, err := c.Invoke(context.Background(), "holder", &vmpb.Open{}, &vmpb.AccountReserveReply{})
	if err == nil || errors.Is(err, peer.ErrDeclined) {
		t.Errorf("error %v", err)
	}
}

// A path that is down delays its requests little, also many concurrent ones.
func TestPathDown(t *testing.T) {
	const requests, limit = 50, 500 * time.Millisecond
	c := newClient(&fakeNetwork{unresponsive: true})
	start := time.Now()
	var waitGroup sync.WaitGroup
	for range requests {
		waitGroup.Add(1)
		go func() {
			defer waitGroup.Done()
			assertReply(t, c)
		}()
	}
	waitGroup.Wait()
	if elapsed := time.Since(start); elapsed > limit {
		t.Errorf("%d requests took %s, want at most %s", requests, elapsed, limit)
	}
	t.Run("and once it has been found to be down", func(t *testing.T) {
		start := time.Now()
		assertReply(t, c)
		if elapsed := time.Since(start); elapsed > limit/10 {
			t.Errorf("a request took %s", elapsed)
		}
	})
}

// In a network partition most VMs may be on the sender's side: a relay that
// reached the other side is tried first next time.
func TestSuccessfulRelayIsPreferred(t *testing.T) {
	const requests, limit = 20, 200 * time.Millisecond
	n := &fakeNetwork{unresponsive: true, onlyRelay: "vm4"}
	c := newClient(n)
	found := false
	for attempts := 0; attempts < 50 && !found; attempts++ {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		_, err := c.Invoke(ctx, "holder", &vmpb.Open{}, &vmpb.AccountReserveReply{})
		cancel()
		found = err == nil
	}
	if !found {
		t.Fatal("no request reaches the holder")
	}
	before, start := n.relayedCount(), time.Now()
	for range requests {
		assertReply(t, c)
	}
	if got := n.relayedCount() - before; got != requests {
		t.Errorf("%d requests were relayed %d times", requests, got)
	}
	if elapsed := time.Since(start); elapsed > limit {
		t.Errorf("%d requests took %s", requests, elapsed)
	}
}
