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
	errCut = errors.New("cut off")
	self   = hawthornrail.NewInstance("vm1", "dc1", 7)
)

// network answers for the holder, directly unless it is cut off, and through
// the VMs that pass questions on.
type network struct {
	mu     sync.Mutex
	cut    bool
	silent bool
	// late is how long the holder takes to answer directly.
	late     time.Duration
	declined bool
	direct   int
	passed   []*vmpb.Relay
	// refused says that no VM in between gets an answer.
	refused bool
	// through is the only VM that reaches the holder, if set.
	through string
}

func (n *network) Self() hawthornrail.Instance { return self }

func (n *network) AskEncoded(ctx context.Context, address string, open *vmpb.Open) ([]byte, hawthornrail.Instance, error) {
	n.mu.Lock()
	cut, silent, late, declined := n.cut, n.silent, n.late, n.declined
	if address == "holder" {
		n.direct++
	} else {
		n.passed = append(n.passed, open.GetRelay())
	}
	n.mu.Unlock()
	holder := hawthornrail.NewInstance("holder", "dc2", 1)
	answer, err := proto.Marshal(&vmpb.AccountReserveReply{Granted: true, Left: 5})
	switch {
	case address == "holder" && silent:
		<-ctx.Done()
		return nil, holder, ctx.Err()
	case address == "holder" && cut:
		return nil, holder, errCut
	case address == "holder" && declined:
		return nil, holder, peer.ErrDeclined
	case address == "holder":
		time.Sleep(late)
		return answer, holder, err
	}
	if n.refused {
		return nil, holder, peer.ErrDeclined
	}
	if n.through != "" && address != n.through {
		<-ctx.Done()
		return nil, holder, ctx.Err()
	}
	reply, err := proto.Marshal(&vmpb.RelayReply{Payload: answer, AnsweredBy: &vmpb.Instance{Vm: "holder", DataCentre: "dc2", Incarnation: 1}})
	return reply, hawthornrail.NewInstance(address, "dc1", 1), err
}

func assertAnswered(t *testing.T, c *relay.Client) {
	t.Helper()
	var reply vmpb.AccountReserveReply
	open := &vmpb.Open{Kind: &vmpb.Open_AccountReserve{AccountReserve: &vmpb.AccountReserve{Program: "p"}}}
	by, err := c.Ask(context.Background(), "holder", open, &reply)
	if err != nil || by.VM() != "holder" || reply.GetLeft() != 5 {
		t.Errorf("answer %v by %v, error %v", &reply, by, err)
	}
}

func newClient(n *network) *relay.Client {
	return relay.NewClient(n, func() []string { return []string{"vm2", "vm3", "vm4"} }, clock.Real())
}

// A VM that does not answer is asked through others, who say whom for.
func TestRelay(t *testing.T) {
	t.Run("direct answer needs no other VM", func(t *testing.T) {
		n := &network{}
		assertAnswered(t, newClient(n))
		if len(n.passed) != 0 {
			t.Errorf("%d VMs were asked", len(n.passed))
		}
	})
	t.Run("connection fails", func(t *testing.T) {
		n := &network{cut: true}
		assertAnswered(t, newClient(n))
		n.mu.Lock()
		defer n.mu.Unlock()
		if len(n.passed) == 0 || n.passed[0].GetFrom().GetVm() != "vm1" || n.passed[0].GetAddress() != "holder" {
			t.Errorf("passed on %v", n.passed)
		}
	})
	t.Run("connection is silent", func(t *testing.T) { assertAnswered(t, newClient(&network{silent: true})) })
	t.Run("nobody passes it on", func(t *testing.T) {
		c := relay.NewClient(&network{cut: true}, func() []string { return nil }, clock.Real())
		if _, err := c.Ask(context.Background(), "holder", &vmpb.Open{}, &vmpb.AccountReserveReply{}); !errors.Is(err, errCut) {
			t.Errorf("error %v", err)
		}
	})
}

// passedOn returns how many questions were passed on so far.
func (n *network) passedOn() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.passed)
}

// Guards against the overload of incident SHORT: a holder that answers late got
// each question three times, which made it later still.
func TestSlowVMGetsFewCopies(t *testing.T) {
	const asks, mostCopies = 100, 15
	n := &network{late: 80 * time.Millisecond}
	c := newClient(n)
	var wait sync.WaitGroup
	for range asks {
		wait.Add(1)
		go func() {
			defer wait.Done()
			assertAnswered(t, c)
		}()
		time.Sleep(5 * time.Millisecond)
	}
	wait.Wait()
	if got := n.passedOn(); got > mostCopies {
		t.Errorf("%d of %d questions were passed on, want at most %d", got, asks, mostCopies)
	}
}

// A VM that says it has no answer is not asked the same through others.
func TestDeclinedIsNotPassedOn(t *testing.T) {
	n := &network{declined: true}
	_, err := newClient(n).Ask(context.Background(), "holder", &vmpb.Open{}, &vmpb.AccountReserveReply{})
	if !errors.Is(err, peer.ErrDeclined) {
		t.Errorf("error %v", err)
	}
	if got := n.passedOn(); got != 0 {
		t.Errorf("%d VMs were asked", got)
	}
}

// A VM in between that got no answer does not speak for the VM that is asked.
func TestVMInBetweenDeclines(t *testing.T) {
	c := newClient(&network{cut: true, refused: true})
	_, err := c.Ask(context.Background(), "holder", &vmpb.Open{}, &vmpb.AccountReserveReply{})
	if err == nil || errors.Is(err, peer.ErrDeclined) {
		t.Errorf("error %v", err)
	}
}

// A path that is lost costs its questions little, also many at once.
func TestLostPath(t *testing.T) {
	const asks, limit = 50, 500 * time.Millisecond
	c := newClient(&network{silent: true})
	start := time.Now()
	var wait sync.WaitGroup
	for range asks {
		wait.Add(1)
		go func() {
			defer wait.Done()
			assertAnswered(t, c)
		}()
	}
	wait.Wait()
	if took := time.Since(start); took > limit {
		t.Errorf("%d questions took %s, want at most %s", asks, took, limit)
	}
	t.Run("and once it is known", func(t *testing.T) {
		start := time.Now()
		assertAnswered(t, c)
		if took := time.Since(start); took > limit/10 {
			t.Errorf("a question took %s", took)
		}
	})
}

// In a cut most VMs may be on the same side: one that reached the other side is
// asked first next time.
func TestSamePathThroughOthers(t *testing.T) {
	const asks, limit = 20, 200 * time.Millisecond
	n := &network{silent: true, through: "vm4"}
	c := newClient(n)
	found := false
	for tries := 0; tries < 50 && !found; tries++ {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		_, err := c.Ask(ctx, "holder", &vmpb.Open{}, &vmpb.AccountReserveReply{})
		cancel()
		found = err == nil
	}
	if !found {
		t.Fatal("no question reaches the holder")
	}
	before, start := n.passedOn(), time.Now()
	for range asks {
		assertAnswered(t, c)
	}
	if got := n.passedOn() - before; got != asks {
		t.Errorf("%d questions were passed on %d times", asks, got)
	}
	if took := time.Since(start); took > limit {
		t.Errorf("%d questions took %s", asks, took)
	}
}
