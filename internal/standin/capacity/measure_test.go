package capacity_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/endpoint/pool"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
	"hawthornrail.example/hawthornrail/internal/standin/engine"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
	"hawthornrail.example/hawthornrail/internal/vm/members"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const segmentBytes = 66 // Ethernet, IP and TCP headers

// counter counts the bytes of all connections, including segmentBytes for each
// read and write.
type counter struct {
	dialer hawthornrail.Dialer
	bytes  atomic.Int64
}

func (c *counter) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: c}, nil
}

type countedConn struct {
	net.Conn
	counter *counter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n + segmentBytes))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n + segmentBytes))
	return n, err
}

func newMemberTable(vms int) *members.Table {
	member := func(i int) hawthornrail.Member {
		instance := hawthornrail.NewInstance(fmt.Sprintf("vm-%d", i), fmt.Sprintf("dc%d", i%8), 1_700_000_000_000)
		return hawthornrail.NewMember(instance, "10.0.100.100:7000", false, time.Time{})
	}
	t := members.NewTable(member(0))
	for i := 1; i < vms; i++ {
		t.RecordContact(member(i), time.Now())
	}
	// New members are spread in the first probes; drop them to measure the
	// steady state.
	for range 20 * vms {
		t.Updates()
	}
	return t
}

// BenchmarkHeartbeat probes a VM and counts the bytes in both directions.
func BenchmarkHeartbeat(b *testing.B) {
	for _, vms := range []int{10, 100, 340} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			self, secret := newMemberTable(vms), []byte("secret")
			s := peer.NewServer(hawthornrail.NewInstance("vm1", "dc1", 1), secret, nil, clock.Real(), events.Discard())
			address, err := s.Listen("127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			other := newMemberTable(vms)
			go func() {
				_ = s.Serve(func(_ context.Context, _ *vmpb.Open, s *peer.Stream) {
					_ = s.Send(&vmpb.HeartbeatReply{From: convert.MemberToWire(other.Self()), News: convert.MembersToWire(other.Updates())})
				})
			}()
			count := &counter{dialer: dial.New(nil)}
			c := peer.NewClient(self.Self().Instance(), secret, nil, clock.Real(), count)
			defer c.Close()
			for b.Loop() {
				open := &vmpb.Open{Kind: &vmpb.Open_Heartbeat{Heartbeat: &vmpb.Heartbeat{
					From: convert.MemberToWire(self.Self()), ConfigRevision: 1 << 30, News: convert.MembersToWire(self.Updates()),
				}}}
				var reply vmpb.HeartbeatReply
				if _, err := c.Invoke(context.Background(), address.String(), open, &reply); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(count.bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkPoll polls an engine's load over a persistent connection.
func BenchmarkPoll(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	server := engine.NewServer(engine.New(engine.Params{Slots: 48, CacheTokens: 800_000}))
	go func() { _ = fasthttp.Serve(l, server.Handler()) }()
	count := &counter{dialer: dial.New(nil)}
	transport := http.New(clock.Real(), count)
	for b.Loop() {
		request := fasthttp.AcquireRequest()
		request.SetRequestURI("http://" + l.Addr().String() + "/load")
		exchange, err := transport.Do(context.Background(), l.Addr().String(), request, false)
		if err != nil {
			b.Fatal(err)
		}
		body := make([]byte, 1024)
		for err == nil {
			_, err = exchange.Read(body)
		}
		exchange.Close()
	}
	b.ReportMetric(float64(count.bytes.Load())/float64(b.N), "wire-B/op")
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkLedger measures the memory of a program's record without the text
// of its turns.
func BenchmarkLedger(b *testing.B) {
	for _, turns := range []int{1, 10, 130} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			const programs = 1000
			before, held := 0.0, []*ledger.Tree(nil)
			for b.Loop() {
				held = nil
				before = heapBytes()
				for i := range programs {
					held = append(held, newTree(b, uint64(i), turns))
				}
			}
			b.ReportMetric((heapBytes()-before)/programs, "held-B")
			runtime.KeepAlive(held)
		})
	}
}

func newTree(b *testing.B, number uint64, turns int) *ledger.Tree {
	id := hawthornrail.NewProgramID(hawthornrail.NewInstance("vm1", "dc1", 1), number, "team", []byte("secret"))
	tree := ledger.NewTree(id)
	budget := hawthornrail.NewBudget(1000, 1_000_000, time.Hour, 3, 10)
	changes := []hawthornrail.Change{hawthornrail.NewCreateTree("team", "deployment", budget, time.Now())}
	for n := range uint64(turns) {
		changes = append(changes, hawthornrail.NewIntent(0, n+1, make([]byte, 32), "engine-1", true, 100),
			hawthornrail.NewResponseOutcome(0, n+1, 200, "application/json", nil).WithUsedTokens(100))
	}
	for _, change := range changes {
		if err := tree.Apply(tree.Next(change)); err != nil {
			b.Fatal(err)
		}
	}
	return tree
}

type fixedConfig struct{ snapshot *hawthornrail.Snapshot }

func (c *fixedConfig) Snapshot() *hawthornrail.Snapshot { return c.snapshot }
func (*fixedConfig) Age() time.Duration                 { return 0 }

// BenchmarkRefresh applies a changed configuration to the endpoint pool.
func BenchmarkRefresh(b *testing.B) {
	for _, n := range []int{10, 1000, 7500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			var endpoints []hawthornrail.Endpoint
			for i := range n {
				e := hawthornrail.NewEndpoint(fmt.Sprintf("engine-%d", i), hawthornrail.EngineEndpoint, fmt.Sprintf("dc%d", i%8), "10.0.0.1:1", []string{fmt.Sprintf("model-%d", i%5)})
				endpoints = append(endpoints, e.WithSlots(48))
			}
			current, next := hawthornrail.NewSnapshot(1, nil, nil, endpoints, nil), hawthornrail.NewSnapshot(2, nil, nil, endpoints, nil)
			config := &fixedConfig{snapshot: current}
			before := heapBytes()
			p := pool.New(config, clock.Real(), "dc1", "vm1", endpoint.DefaultParams())
			p.Capacity(hawthornrail.EngineEndpoint, "model-1")
			held := heapBytes() - before
			for b.Loop() {
				current, next = next, current
				config.snapshot = current
				p.Capacity(hawthornrail.EngineEndpoint, "model-1")
			}
			b.ReportMetric(held, "held-B")
		})
	}
}

// BenchmarkHintMemory measures the memory of the cache hints of programs.
func BenchmarkHintMemory(b *testing.B) {
	for _, n := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			held := 0.0
			for b.Loop() {
				before := heapBytes()
				t := endpoint.NewTable(endpoint.DefaultParams(), "dc1", rand.New(rand.NewPCG(1, 1)))
				for i := range n {
					t.Cached(fmt.Sprintf("dc1.vm1.kf12s0-%d-abcdef", i), "engine-1", 1000, time.Now())
				}
				held = heapBytes() - before
				runtime.KeepAlive(t)
			}
			b.ReportMetric(held, "held-B")
		})
	}
}
