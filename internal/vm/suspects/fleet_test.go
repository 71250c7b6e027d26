package suspects

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// spreadTime is the time in which all VMs have to know what one has learned.
const spreadTime = 3 * time.Second

var errUnreachable = errors.New("unreachable")

// config is a configuration with a list of VMs.
type config struct{ snapshot *hawthornrail.Snapshot }

func (c config) Snapshot() *hawthornrail.Snapshot { return c.snapshot }
func (c config) Age() time.Duration               { return 0 }

// network connects controllers without sockets; VMs reach each other if they are
// in the same part of it.
type network struct {
	config   config
	messages atomic.Int64

	mu sync.Mutex
	// delay is how long a message takes at most.
	delay time.Duration
	vms   []*Controller
	parts []int
}

// link is the invoker of one VM.
type link struct {
	network *network
	vm      int
}

func (l link) Invoke(ctx context.Context, address string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	var to int
	if _, err := fmt.Sscan(address, &to); err != nil {
		return hawthornrail.Instance{}, err
	}
	n := l.network
	n.mu.Lock()
	receiver, connected, delay := n.vms[to], n.parts[l.vm] == n.parts[to], n.delay
	n.mu.Unlock()
	// A VM that has not started yet can't be reached either.
	if receiver == nil || !connected || ctx.Err() != nil {
		return hawthornrail.Instance{}, errUnreachable
	}
	n.messages.Add(1)
	time.Sleep(rand.N(delay + 1))
	var answer proto.Message
	if report := open.GetSuspectReport(); report != nil {
		answer = receiver.receiveReport(report)
	} else {
		answer = receiver.receiveTrialRequest(open.GetTrialAsk())
	}
	proto.Merge(reply, answer)
	return hawthornrail.Instance{}, nil
}

func newNetwork(t *testing.T, size int) *network {
	t.Helper()
	n := &network{vms: make([]*Controller, size), parts: make([]int, size)}
	var vms []hawthornrail.VM
	for vm := range size {
		vms = append(vms, hawthornrail.NewVM(fmt.Sprintf("vm%d", vm), "dc1", fmt.Sprint(vm), false).WithoutRates())
	}
	n.config = config{hawthornrail.NewSnapshot(1, nil, nil, nil, vms)}
	for vm := range size {
		n.start(t, vm)
	}
	return n
}

// start starts a VM, or starts it again with nothing that it knew.
func (n *network) start(t *testing.T, vm int) {
	t.Helper()
	peers := func() (addresses []string) {
		for other := range n.vms {
			if other != vm {
				addresses = append(addresses, fmt.Sprint(other))
			}
		}
		return addresses
	}
	c := New(Dependencies{
		VM: fmt.Sprintf("vm%d", vm), Config: n.config, Peers: peers, Direct: link{n, vm}, Relay: link{n, vm},
		Clock: clock.Real(), Log: events.Discard(), Registry: gometrics.NewRegistry(),
	})
	n.mu.Lock()
	n.vms[vm] = c
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// divide puts the VMs from first on into another part of the network, or all into
// one if first is the number of VMs.
func (n *network) divide(first int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for vm := range n.parts {
		n.parts[vm] = 0
		if vm >= first {
			n.parts[vm] = 1
		}
	}
}

func (n *network) setDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

func requestOf(team, path, body string) hawthornrail.RequestDigests {
	r := hawthornrail.NewForwardRequest("POST", "host", path, path, []byte(body), time.Time{})
	r.Identify(hawthornrail.NewDeployment(team, team, 1))
	return r.Digests()
}

// assertChecked waits until all VMs refuse a request, or all allow it.
func (n *network) assertChecked(t *testing.T, digests hawthornrail.RequestDigests, refused bool) {
	t.Helper()
	var differing int
	for end := time.Now().Add(spreadTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		differing = 0
		for _, c := range n.vms {
			if (c.Check(digests) != nil) != refused {
				differing++
			}
		}
		if differing == 0 {
			return
		}
	}
	t.Errorf("%d VMs do not have refused: %t", differing, refused)
}

// inSimulatedTime runs a subtest in which time passes only while all VMs wait, however busy the
// machine is.
func inSimulatedTime(t *testing.T, name string, test func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// Guards against the incident BUDGET: each VM sees a part of the crashes, and none
// of them enough.
func TestCrashesAtDifferentVMs(t *testing.T) {
	for _, size := range []int{3, 9, 83} {
		inSimulatedTime(t, fmt.Sprint(size), func(t *testing.T) {
			n := newNetwork(t, size)
			deadly := requestOf("team", "/deadly", "body")
			for crash := range 3 {
				n.vms[crash*(size-1)/2].RecordCrash(deadly, "team", fmt.Sprintf("e%d", crash))
			}
			n.assertChecked(t, deadly, true)
			n.assertChecked(t, requestOf("team", "/deadly", "longer body"), true)
			n.assertChecked(t, requestOf("other", "/deadly", "body"), false)
			// Three VMs report to all others; a few comparisons come with it.
			if limit := int64(3*(size-1) + 4*size); n.messages.Load() > limit {
				t.Errorf("%d messages, want %d at most", n.messages.Load(), limit)
			}
		})
	}
}

// Guards against a VM that serves what all others refuse, because it has
// restarted or could not be reached.
func TestVMsThatMissedReports(t *testing.T) {
	deadly := requestOf("team", "/deadly", "body")
	t.Run("restart", func(t *testing.T) {
		n := newNetwork(t, 9)
		for crash := range 3 {
			n.vms[0].RecordCrash(deadly, "team", fmt.Sprintf("e%d", crash))
		}
		n.assertChecked(t, deadly, true)
		n.start(t, 5)
		n.assertChecked(t, deadly, true)
	})
	t.Run("partition", func(t *testing.T) {
		n := newNetwork(t, 9)
		n.divide(4)
		n.vms[0].RecordCrash(deadly, "team", "e1")
		n.vms[8].RecordCrash(deadly, "team", "e2")
		n.vms[8].RecordCrash(deadly, "team", "e3")
		time.Sleep(2 * reportDelay)
		n.divide(9)
		n.assertChecked(t, deadly, true)
	})
}

// Guards against a content that is refused although others like it complete.
func TestCompletionClearsEverywhere(t *testing.T) {
	n := newNetwork(t, 9)
	digests := requestOf("team", "/shared", "body")
	for crash := range 4 {
		n.vms[crash].RecordCrash(digests, "team", fmt.Sprintf("e%d", crash))
	}
	n.assertChecked(t, digests, true)
	n.vms[7].RecordCompletion(digests)
	n.assertChecked(t, digests, false)
}

// Guards against a deadly content that is not refused because other requests for
// the same path complete, and against those being refused with it.
func TestSharedPath(t *testing.T) {
	n := newNetwork(t, 3)
	deadly, harmless := requestOf("team", "/chat", "deadly"), requestOf("team", "/chat", "harmless")
	for crash := range 3 {
		n.vms[crash].RecordCrash(deadly, "team", fmt.Sprintf("e%d", crash))
		n.vms[crash].RecordCompletion(harmless)
	}
	n.assertChecked(t, deadly, true)
	n.assertChecked(t, harmless, false)
}

// Guards against VMs that start a trial each, and so crash an endpoint each, and against a
// trial of the content that is wasted since the one of the path is due a moment later.
func TestOneTrialInTheFleet(t *testing.T) {
	for _, delay := range []time.Duration{0, 10 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(fmt.Sprintf("messages take up to %v", delay), func(t *testing.T) {
			for fleet := range 40 {
				inSimulatedTime(t, fmt.Sprint(fleet), func(t *testing.T) {
					n := newNetwork(t, 9)
					n.setDelay(delay)
					n.assertOneTrial(t)
				})
			}
		})
	}
}

// assertOneTrial lets all VMs try a request whose content and path are refused.
func (n *network) assertOneTrial(t *testing.T) {
	t.Helper()
	deadly := requestOf("team", "/deadly", "body")
	for crash := range 3 {
		n.vms[0].RecordCrash(deadly, "team", fmt.Sprintf("e%d", crash))
	}
	n.assertChecked(t, deadly, true)
	var trials atomic.Int64
	var callers sync.WaitGroup
	for _, c := range n.vms {
		callers.Go(func() {
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				trial, err := c.Admit(t.Context(), deadly)
				if err == nil && !trial {
					t.Error("a request was admitted without a trial")
				}
				if trial {
					trials.Add(1)
				}
			}
		})
	}
	callers.Wait()
	if got := trials.Load(); got != 1 {
		t.Errorf("%d trials within 5 s, want 1", got)
	}
}

// Guards against review case 5: crashes that nothing confirmed at once are never counted.
func TestLossesOfEndpointsThatAreGone(t *testing.T) {
	n := newNetwork(t, 3)
	deadly := requestOf("team", "/deadly", "body")
	for crash := range 3 {
		// None of the endpoints is listed any more.
		n.vms[crash].RecordLoss(deadly, "team", fmt.Sprintf("e%d", crash))
	}
	n.assertChecked(t, deadly, true)
	n.assertChecked(t, requestOf("team", "/other", "body"), false)
}
