package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/controller"
	"hawthornrail.example/hawthornrail/internal/config/relay"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/platform/client"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
	"hawthornrail.example/hawthornrail/internal/standin/platform"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	fullSize         = 340
	inForceLimit     = 10 * time.Second
	platformReads    = 2000
	platformQuarter  = platformReads / 4
	measureSeconds   = 5
	fleetDataCentres = 8
)

// staticMembership is a fixed list of VMs as seen from one of them.
type staticMembership struct {
	self    hawthornrail.Member
	members []hawthornrail.Member
}

func (m *staticMembership) Self() hawthornrail.Member { return m.self }
func (m *staticMembership) Members() []hawthornrail.Member {
	return append([]hawthornrail.Member{}, m.members...)
}

func (m *staticMembership) Member(vm string) (hawthornrail.Member, bool) {
	for _, member := range m.members {
		if member.VM() == vm {
			return member, true
		}
	}
	return hawthornrail.Member{}, false
}

// countingDialer counts the bytes on the connections that a VM opens.
type countingDialer struct {
	bytes *atomic.Uint64
}

func (d countingDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := dial.New(nil).Dial(ctx, address)
	return countingConn{c, d.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// fullFleet runs the controller and relay of every VM in one process, over
// loopback.
type fullFleet struct {
	store       *platform.Store
	server      *platform.Server
	controllers []*controller.Controller
	bytes       atomic.Uint64
}

func newFullFleet(t *testing.T) *fullFleet {
	t.Helper()
	f := &fullFleet{store: platform.NewStore()}
	f.server = platform.NewServer(f.store)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = fasthttp.Serve(l, f.server.Handler()) }()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	t.Cleanup(func() { _ = l.Close() })
	t.Cleanup(func() { cancel(); wait.Wait() })
	secret := []byte("00112233445566778899")
	var servers []*peer.Server
	var members []hawthornrail.Member
	for i := range fullSize {
		self := hawthornrail.NewInstance(fmt.Sprintf("vm%d", i), fmt.Sprintf("dc%d", i%fleetDataCentres), 1)
		s := peer.NewServer(self, secret, nil, clock.Real(), events.Discard())
		address, err := s.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, s)
		members = append(members, hawthornrail.NewMember(self, address.String(), false, time.Time{}))
	}
	for i, self := range members {
		m := &staticMembership{self: self, members: append(append([]hawthornrail.Member{}, members[:i]...), members[i+1:]...)}
		dialer := countingDialer{&f.bytes}
		p := peer.NewClient(self.Instance(), secret, nil, clock.Real(), dialer)
		c := controller.New(client.New(l.Addr().String(), dial.New(nil)), clock.Real(), events.Discard())
		r := relay.New(c, m, p, clock.Real(), nil)
		f.controllers = append(f.controllers, c)
		wait.Add(3)
		go func() {
			defer wait.Done()
			_ = servers[i].Serve(func(ctx context.Context, open *vmpb.Open, s *peer.Stream) { r.Handle(ctx, open, s) })
		}()
		go func() { defer wait.Done(); c.Run(ctx, r.ShouldWatch, r.AnnounceRevision) }()
		go func() { defer wait.Done(); r.Run(ctx) }()
		t.Cleanup(servers[i].Close)
		t.Cleanup(p.Close)
	}
	return f
}

func (f *fullFleet) change(t *testing.T, i int) uint64 {
	t.Helper()
	value, err := json.Marshal(objects.Deployment{Team: "t", RatePerSecond: float64(i)})
	if err != nil {
		t.Fatal(err)
	}
	current, _ := f.store.Get(objects.KindDeployment, "d")
	o, err := f.store.Put(objects.KindDeployment, "d", current.Version, value)
	if err != nil {
		t.Fatal(err)
	}
	return o.Version
}

func (f *fullFleet) waitInForce(t *testing.T, revision uint64, limit time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for _, c := range f.controllers {
		for c.Snapshot().Revision() < revision {
			if time.Since(start) > limit {
				t.Fatalf("revision %d is not in force everywhere within %s", revision, limit)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}

// measure logs the platform's calls and the relays' bytes over a period, and
// returns the calls per second.
func (f *fullFleet) measure(t *testing.T, label string, perSecond func()) float64 {
	t.Helper()
	before, bytes := f.server.Counts(), f.bytes.Load()
	for range measureSeconds {
		perSecond()
		time.Sleep(time.Second)
	}
	after := f.server.Counts()
	calls := float64(after.Reads-before.Reads+after.Watches-before.Watches) / measureSeconds
	perMinute := func(n uint64) float64 { return float64(n) * 60 / measureSeconds / fullSize }
	t.Logf("%s: per minute and VM %.2f reads, %.2f writes, %.2f watches; %.0f calls per second of the fleet; %.0f B/s per VM between relays, sent and received",
		label, perMinute(after.Reads-before.Reads), perMinute(after.Writes-before.Writes),
		perMinute(after.Watches-before.Watches), calls, 2*float64(f.bytes.Load()-bytes)/measureSeconds/fullSize)
	return calls
}

// Guards against a change that takes longer than inForceLimit to be in force on
// every VM at full size, and against a fleet that uses more than a quarter of
// the platform's reads, also during and after an outage.
func TestFullSize(t *testing.T) {
	if testing.Short() {
		t.Skip("runs 340 VMs' relays")
	}
	f := newFullFleet(t)
	t.Logf("first configuration on %d VMs after %s", fullSize, f.waitInForce(t, f.change(t, 0), 3*inForceLimit))
	time.Sleep(5 * time.Second)
	assertCalls(t, f.measure(t, "without changes", func() {}))
	slowest := time.Duration(0)
	calls := f.measure(t, "one change per second", func() {
		slowest = max(slowest, f.waitInForce(t, f.change(t, 1), inForceLimit))
	})
	t.Logf("slowest change in force on %d VMs after %s", fullSize, slowest)
	assertCalls(t, calls)
	f.server.SetFaults(platform.Faults{Outage: true})
	assertCalls(t, f.measure(t, "outage", func() {}))
	f.server.SetFaults(platform.Faults{})
	last := f.change(t, 2)
	t.Logf("change after the outage in force after %s", f.waitInForce(t, last, inForceLimit))
	assertCalls(t, f.measure(t, "after the outage", func() {}))
}

func assertCalls(t *testing.T, calls float64) {
	t.Helper()
	if calls > platformQuarter {
		t.Errorf("%.0f calls per second, want at most %d", calls, platformQuarter)
	}
}
