package streams

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// routeTimeout is short, so that the versions of a moment ago are soon forgotten if they
	// are kept for as long as the route's timeout says.
	routeTimeout = 200 * time.Millisecond
	// learnTime is longer than the attempts to tell one stream take.
	learnTime = 5 * time.Second
	// removedOfVM is how many VMs were removed for each that runs.
	removedOfVM = 4
	streamsOfVM = 60
)

var errUnreachable = errors.New("unreachable")

// network connects controllers without sockets.
type network struct {
	messages atomic.Int64

	mu       sync.Mutex
	snapshot *hawthornrail.Snapshot
	vms      []*Controller
	down     map[int]bool
	// silent is set if VMs that are down do not even refuse connections.
	silent bool
}

// silence is how a message to a VM ends that is down.
func (n *network) silence(ctx context.Context) error {
	if n.silent {
		<-ctx.Done()
	}
	return errUnreachable
}

// link is the configuration and the invoker of one VM.
type link struct {
	network *network
	age     time.Duration
	// snapshot replaces the network's if the VM is cut off from changes.
	snapshot *hawthornrail.Snapshot
}

func (l link) Age() time.Duration { return l.age }

func (l link) Snapshot() *hawthornrail.Snapshot {
	if l.snapshot != nil {
		return l.snapshot
	}
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	return l.network.snapshot
}

func (l link) Invoke(ctx context.Context, address string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	var to int
	if _, err := fmt.Sscan(address, &to); err != nil {
		return hawthornrail.Instance{}, err
	}
	n := l.network
	n.mu.Lock()
	receiver, down := n.vms[to], n.down[to]
	n.mu.Unlock()
	if down || ctx.Err() != nil {
		return hawthornrail.Instance{}, n.silence(ctx)
	}
	n.messages.Add(1)
	proto.Merge(reply, receiver.reply(proto.CloneOf(open)))
	return hawthornrail.Instance{}, nil
}

func endpointsOf(versions ...string) []hawthornrail.Endpoint {
	var list []hawthornrail.Endpoint
	for _, v := range versions {
		list = append(list, hawthornrail.NewEndpoint("e-"+v, hawthornrail.EngineEndpoint, "dc0", "", []string{"engine"}).WithVersion(v))
	}
	return list
}

// newNetwork starts VMs in three data centres, to which endpoints of some versions
// are listed.
func newNetwork(t *testing.T, size int, versions ...string) *network {
	t.Helper()
	n := &network{vms: make([]*Controller, size), down: make(map[int]bool)}
	var vms []hawthornrail.VM
	for vm := range size {
		vms = append(vms, hawthornrail.NewVM(name(vm), dataCentre(vm), fmt.Sprint(vm), false).WithoutRates())
	}
	n.snapshot = hawthornrail.NewSnapshot(1, nil, nil, endpointsOf(versions...), vms)
	for vm := range size {
		n.start(t, vm, link{network: n})
	}
	return n
}

// addRemoved lists VMs that were removed for good, a number for each that runs.
func (n *network) addRemoved(each int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	vms := n.snapshot.EntryVMs()
	running := len(vms)
	for vm := running; vm < running*(each+1); vm++ {
		vms = append(vms, hawthornrail.NewVM(name(vm), dataCentre(vm), fmt.Sprint(vm), false).WithoutRates())
		n.vms = append(n.vms, nil)
		n.down[vm] = true
	}
	n.snapshot = hawthornrail.NewSnapshot(2, nil, nil, n.snapshot.Endpoints(), vms)
}

func name(vm int) string { return fmt.Sprintf("vm%d", vm) }

func dataCentre(vm int) string { return fmt.Sprintf("dc%d", vm%3) }

// start starts a VM, or starts it again with nothing that it knew.
func (n *network) start(t *testing.T, vm int, l link) {
	t.Helper()
	c := New(Dependencies{VM: name(vm), DataCentre: dataCentre(vm), Config: l, Invoker: l, Clock: clock.Real()})
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
	c.observe()
}

func (n *network) list(versions ...string) {
	n.change(func(s *hawthornrail.Snapshot) *hawthornrail.Snapshot {
		return s.WithEndpoints(endpointsOf(versions...))
	})
}

// configure puts another version of the configuration in force.
func (n *network) configure() {
	n.change(func(s *hawthornrail.Snapshot) *hawthornrail.Snapshot {
		return hawthornrail.NewSnapshot(s.Revision()+1, nil, nil, s.Endpoints(), s.EntryVMs())
	})
}

func (n *network) change(change func(*hawthornrail.Snapshot) *hawthornrail.Snapshot) {
	n.mu.Lock()
	n.snapshot = change(n.snapshot)
	vms := n.vms
	n.mu.Unlock()
	for _, c := range vms {
		c.observe()
	}
}

func (n *network) setDown(vm int, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[vm] = down
}

func route() hawthornrail.Route { return routeTo("engine") }

func routeTo(service string) hawthornrail.Route {
	targets := []hawthornrail.Target{hawthornrail.NewTarget(service, 1)}
	return hawthornrail.NewRoute("turns", "host", "/", hawthornrail.StreamRoute, targets).WithResumable(true).WithTimeoutAndObjective(routeTimeout, 0)
}

// find asks a VM where a stream began; it returns an empty version if that is not
// known.
func (n *network) find(t *testing.T, vm int, stream string) string {
	t.Helper()
	return n.findOn(t, route(), vm, stream)
}

// findOn is like find for a route.
func (n *network) findOn(t *testing.T, r hawthornrail.Route, vm int, stream string) string {
	t.Helper()
	origin, ok := n.vms[vm].Find(t.Context(), stream, r)
	if !ok {
		return ""
	}
	if origin.Service() != "engine" {
		t.Errorf("stream %s began at service %q", stream, origin.Service())
	}
	return origin.Version()
}

// begin begins streams at all VMs, alternately at the versions v1 and v2, and
// returns the version of each.
func (n *network) begin(count int) map[string]string { return n.beginAt(count, "v1", "v2") }

// beginAt is like begin with the given versions.
func (n *network) beginAt(count int, versions ...string) map[string]string {
	streams := make(map[string]string)
	for s := range count {
		stream, version := fmt.Sprintf("s%d", s), versions[s%len(versions)]
		n.vms[s%len(n.vms)].Record(stream, hawthornrail.NewStreamOrigin("engine", version))
		streams[stream] = version
	}
	time.Sleep(5 * reportDelay)
	return streams
}

// beginAtVMs begins a number of streams at each of some VMs, alternately at v1 and v2. The
// names of the streams begin with a prefix.
func (n *network) beginAtVMs(vms []int, prefix string, count int) map[string]string {
	streams := make(map[string]string)
	for _, vm := range vms {
		for range count {
			stream, version := fmt.Sprintf("%s%d", prefix, len(streams)), []string{"v1", "v2"}[len(streams)%2]
			n.vms[vm].Record(stream, hawthornrail.NewStreamOrigin("engine", version))
			streams[stream] = version
		}
	}
	return streams
}

// taken counts the streams that can be taken up, and those at a wrong version.
func (n *network) taken(t *testing.T, streams map[string]string, at func(s int) int) (known, wrong int) {
	t.Helper()
	return n.takenOn(t, route(), streams, at)
}

// takenOn is like taken for a route.
func (n *network) takenOn(t *testing.T, r hawthornrail.Route, streams map[string]string, at func(s int) int) (known, wrong int) {
	t.Helper()
	for s := range len(streams) {
		stream := fmt.Sprintf("s%d", s)
		switch n.findOn(t, r, at(s), stream) {
		case "":
		case streams[stream]:
			known++
		default:
			wrong++
		}
	}
	return known, wrong
}

// Guards against the incident ORDER: a stream is taken up at a VM that does not
// know which version began it.
func TestTakenUpAtAnotherVM(t *testing.T) {
	for _, size := range []int{3, 9, 83} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			n := newNetwork(t, size, "v1", "v2")
			streams := n.begin(100)
			if perStream := float64(n.messages.Load()) / 100; perStream > 2 {
				t.Errorf("%.1f messages a stream, want 2 at most", perStream)
			}
			for _, distance := range []int{0, 1, 3} {
				known, wrong := n.taken(t, streams, func(s int) int { return (s + distance) % size })
				if wrong > 0 || known < len(streams) {
					t.Errorf("%d VMs on: %d of %d streams are known, %d wrong", distance, known, len(streams), wrong)
				}
			}
		})
	}
}

// Guards against streams that are lost with the VM that began them: it restarts,
// and two more of nine with it.
func TestTakenUpAfterRestarts(t *testing.T) {
	n := newNetwork(t, 9, "v1", "v2")
	streams := n.begin(180)
	for _, vm := range []int{0, 4, 8} {
		n.start(t, vm, link{network: n})
		n.setDown(vm, vm == 4)
	}
	// The next VM in the same data centre.
	known, wrong := n.taken(t, streams, func(s int) int { return (s + 3) % 9 })
	if wrong > 0 || known < len(streams)*3/4 {
		t.Errorf("%d of %d streams are known, %d wrong", known, len(streams), wrong)
	}
}

// Guards against streams that are lost since VMs that were removed for good stay in the list:
// their origins were told to VMs that are gone, and are looked for there.
func TestTakenUpAmongRemovedVMs(t *testing.T) {
	for _, c := range []struct {
		running int
		// silent is set if the VMs that are gone do not even refuse connections.
		silent bool
	}{{3, false}, {9, false}, {70, false}, {3, true}, {9, true}} {
		t.Run(fmt.Sprintf("%d run, silent %t", c.running, c.silent), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(t, c.running, "v1", "v2")
			n.silent = c.silent
			n.addRemoved(removedOfVM)
			// The first streams show the two VMs which others reply.
			n.beginAtVMs([]int{0, 1}, "first", removedOfVM*c.running)
			time.Sleep(learnTime)
			streams := n.beginAtVMs([]int{0}, "s", streamsOfVM)
			time.Sleep(learnTime)
			n.setDown(0, true)
			known, wrong := n.taken(t, streams, func(int) int { return 1 })
			if wrong > 0 || known < len(streams)*9/10 {
				t.Errorf("%d of %d streams are known, %d wrong", known, len(streams), wrong)
			}
		})
	}
}

// Guards against refusals while a service has one version only, against more than two
// messages to tell where a stream began, and against questions to more VMs than may know.
func TestOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 9, "v1")
		n.vms[0].Record("s1", hawthornrail.NewStreamOrigin("engine", "v1"))
		time.Sleep(3 * reportDelay)
		assertMessages(t, n, 2)
		if got := n.find(t, 5, "s1"); got != "v1" {
			t.Errorf("version %q, want v1", got)
		}
		assertMessages(t, n, 3*keepersOfDataCentre)
		time.Sleep(maxStreamAge)
		if got := n.find(t, 5, "unknown"); got != "v1" {
			t.Errorf("version %q of an unknown stream, want v1", got)
		}
		n.start(t, 5, link{network: n})
		if got := n.find(t, 5, "s2"); got != "v1" {
			t.Errorf("version %q at a VM that has just started, want v1", got)
		}
	})
}

// assertMessages checks how many messages were sent since the last check.
func assertMessages(t *testing.T, n *network, most int64) {
	t.Helper()
	if sent := n.messages.Swap(0); sent > most {
		t.Errorf("%d messages, want %d at most", sent, most)
	}
}

// reconfiguration is what happens to streams that began at v1 of a service, whose route is
// changed afterwards.
type reconfiguration struct {
	name   string
	during func(t *testing.T, n *network)
	// service is where the route leads afterwards.
	service string
	// least is the fraction of the streams that must be known.
	least float64
}

func reconfigurations() []reconfiguration {
	release := func(_ *testing.T, n *network) {
		n.configure()
		n.list("v2")
	}
	return []reconfiguration{
		{"timeout is shortened during a release", release, "engine", 1},
		{"two changes in a row", func(t *testing.T, n *network) {
			release(t, n)
			time.Sleep(windowOfOldTimeout)
			n.configure()
		}, "engine", 1},
		{"first version comes back", func(t *testing.T, n *network) {
			release(t, n)
			n.list("v1", "v2")
		}, "engine", 1},
		{"route moves to another service", func(_ *testing.T, n *network) { n.configure() }, "other", 1},
		{"a VM starts afterwards", func(t *testing.T, n *network) {
			release(t, n)
			n.start(t, 2, link{network: n})
		}, "engine", 1},
		{"VMs that were told are lost", func(t *testing.T, n *network) {
			release(t, n)
			for _, vm := range []int{0, 1, 3, 4, 6, 7} {
				n.start(t, vm, link{network: n})
			}
		}, "engine", 0},
		{"all VMs start afterwards", func(t *testing.T, n *network) {
			release(t, n)
			for vm := range n.vms {
				n.start(t, vm, link{network: n})
			}
		}, "engine", 0},
	}
}

// windowOfOldTimeout is longer than streams of the shortened timeout last.
const windowOfOldTimeout = 3 * routeTimeout

// Guards against review case 11: a route has a shorter timeout now, or another service, and
// streams from before are said to have begun where the route leads now.
func TestStreamsFromBeforeAChangeOfTheRoute(t *testing.T) {
	for _, c := range reconfigurations() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, 9, "v1")
				time.Sleep(maxStreamAge)
				streams := n.beginAt(90, "v1")
				c.during(t, n)
				time.Sleep(windowOfOldTimeout)
				known, wrong := n.takenOn(t, routeTo(c.service), streams, func(s int) int { return 2 + 3*(s%3) })
				if wrong > 0 || float64(known) < c.least*float64(len(streams)) {
					t.Errorf("%d of %d streams are known, %d wrong", known, len(streams), wrong)
				}
			})
		})
	}
}

// Guards against streams that are forgotten while their callers take them up again and again.
func TestOriginStaysWhileItsStreamIsTakenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 9, "v1", "v2")
		origin := hawthornrail.NewStreamOrigin("engine", "v1")
		for range 8 {
			n.vms[0].Record("s1", origin)
			time.Sleep(retention / 2)
		}
		if got := n.find(t, 5, "s1"); got != "v1" {
			t.Errorf("version %q, want v1", got)
		}
	})
}

// releaseCase is what happens to streams that began while their service had one version.
type releaseCase struct {
	name string
	// during changes the network after the streams have begun.
	during func(t *testing.T, n *network)
	// least is the fraction of the streams that must be known.
	least float64
}

func releaseCases() []releaseCase {
	return []releaseCase{
		{"second version joins", func(_ *testing.T, n *network) { n.list("v1", "v2") }, 1},
		{"first version leaves at once", func(_ *testing.T, n *network) { n.list("v2") }, 1},
		{"first version comes back", func(_ *testing.T, n *network) {
			n.list("v2")
			n.list("v1", "v2")
			n.list("v1")
		}, 1},
		{"VMs are killed before the second version joins", func(_ *testing.T, n *network) {
			n.setDown(0, true)
			n.setDown(4, true)
			n.list("v1", "v2")
		}, 0.75},
		{"VMs restart meanwhile", func(t *testing.T, n *network) {
			n.list("v1", "v2")
			n.start(t, 0, link{network: n})
			n.start(t, 4, link{network: n})
		}, 0.75},
		{"one data centre is cut off", func(_ *testing.T, n *network) {
			for vm := 1; vm < len(n.vms); vm += 3 {
				n.setDown(vm, true)
			}
			n.list("v1", "v2")
		}, 0.75},
	}
}

// Guards against review case 4: once a service gets a second version, nobody knows
// the version of the streams that began before.
func TestStreamsFromBeforeARelease(t *testing.T) {
	for _, c := range releaseCases() {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(t, 9, "v1")
			streams := n.beginAt(90, "v1")
			c.during(t, n)
			// The VMs 2, 5 and 8 go on in all cases.
			known, wrong := n.taken(t, streams, func(s int) int { return 2 + 3*(s%3) })
			if wrong > 0 || float64(known) < c.least*float64(len(streams)) {
				t.Errorf("%d of %d streams are known, %d wrong", known, len(streams), wrong)
			}
		})
	}
}

// Guards against streams of a route to two services that nobody knows, whatever their
// versions.
func TestStreamsOfASplitRoute(t *testing.T) {
	n := newNetwork(t, 9, "v1")
	streams := n.beginAt(90, "v1")
	targets := []hawthornrail.Target{hawthornrail.NewTarget("engine", 1), hawthornrail.NewTarget("other", 1)}
	split := hawthornrail.NewRoute("turns", "host", "/", hawthornrail.StreamRoute, targets).WithResumable(true).WithTimeoutAndObjective(routeTimeout, 0)
	for s := range len(streams) {
		origin, ok := n.vms[(s+1)%9].Find(t.Context(), fmt.Sprintf("s%d", s), split)
		if !ok || origin != hawthornrail.NewStreamOrigin("engine", "v1") {
			t.Errorf("stream %d: origin %v, known %t", s, origin, ok)
		}
	}
}

// Guards against a guess: one version serves now, two did when the stream can have
// begun.
func TestUnknownStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 9, "v1", "v2")
		n.list("v2")
		for _, wait := range []time.Duration{0, windowOfOldTimeout, maxStreamAge / 2} {
			time.Sleep(wait)
			if got := n.find(t, 3, "unknown"); got != "" {
				t.Errorf("version %q", got)
			}
		}
		time.Sleep(maxStreamAge/2 + observeInterval)
		if got := n.find(t, 3, "unknown"); got != "v2" {
			t.Errorf("version %q long after, want v2", got)
		}
	})
}

// Guards against a VM that is cut off from changes: its list has one version, while
// streams begin at another one elsewhere.
func TestTakenUpWithOldList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 9, "v1")
		old := n.snapshot
		n.start(t, 3, link{network: n, age: time.Minute, snapshot: old})
		time.Sleep(maxStreamAge)
		n.list("v1", "v2")
		n.vms[0].Record("s1", hawthornrail.NewStreamOrigin("engine", "v2"))
		time.Sleep(3 * reportDelay)
		if got := n.find(t, 3, "s1"); got != "v2" {
			t.Errorf("version %q, want v2", got)
		}
		if got := n.find(t, 3, "unknown"); got != "" {
			t.Errorf("version %q of an unknown stream", got)
		}
		for vm := range n.vms {
			if vm != 3 {
				n.start(t, vm, link{network: n})
			}
		}
		if got := n.find(t, 0, "unknown"); got != "" {
			t.Errorf("version %q of an unknown stream at a VM that asks the one with the old list", got)
		}
	})
}

// Guards against origins that are kept for ever.
func TestOriginsAreBounded(t *testing.T) {
	o := newOrigins()
	now := time.Unix(1_800_000_000, 0)
	for s := range 5 * maxOrigins {
		o.add(fmt.Sprint(s), hawthornrail.NewStreamOrigin("engine", "v1"), now)
	}
	if kept := len(o.current) + len(o.previous); kept > 2*maxOrigins {
		t.Errorf("%d origins are kept", kept)
	}
	if _, ok := o.find(fmt.Sprint(5*maxOrigins - 1)); !ok {
		t.Error("the last origin is not kept")
	}
}
