package fleet_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/platform/client"
	"hawthornrail.example/hawthornrail/internal/program/home"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
	"hawthornrail.example/hawthornrail/internal/program/replica"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
	"hawthornrail.example/hawthornrail/internal/vm/fleet"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
)

const (
	promptBytes   = 2000
	responseBytes = 1200
)

var secret = []byte("0123456789abcdef0123456789abcdef")

// countingDialer counts the bytes of its connections.
type countingDialer struct {
	dial.Dialer
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.Dialer.Dial(ctx, address)
	return countingConn{conn, &c.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

type fixedConfig struct{ snapshot *hawthornrail.Snapshot }

func (c fixedConfig) Snapshot() *hawthornrail.Snapshot { return c.snapshot }
func (c fixedConfig) Age() time.Duration               { return 0 }

type noMembers struct{ hawthornrail.Membership }

func (noMembers) Member(string) (hawthornrail.Member, bool) { return hawthornrail.Member{}, false }

// startVM starts the components of a VM that replicate programs.
func startVM(b *testing.B, v hawthornrail.VM, vms []hawthornrail.VM, d hawthornrail.Dialer) *fleet.Holdings {
	b.Helper()
	self := hawthornrail.NewInstance(v.Name(), v.DataCentre(), 1)
	k := clock.Real()
	log, err := events.NewStderr("error")
	if err != nil {
		b.Fatal(err)
	}
	config := fixedConfig{hawthornrail.NewSnapshot(1, nil, nil, nil, vms)}
	o := fleet.NewHoldings(fleet.HoldingsDependencies{
		Self: self, Clock: k, Config: config, Members: noMembers{}, Client: peer.NewClient(self, secret, nil, k, d),
		Platform: client.New("127.0.0.1:1", d), Replicas: replica.NewStore(k), Log: log,
	})
	h := home.New(home.Dependencies{Self: self, Clock: k, Config: config, Replicator: o})
	o.SetHome(h)
	server := peer.NewServer(self, secret, nil, k, log)
	b.Cleanup(server.Close)
	if _, err := server.Listen(v.Address()); err != nil {
		b.Fatal(err)
	}
	receiver := fleet.NewReceiver(secret, h, o, nil, nil, nil)
	go func() { _ = server.Serve(receiver.Handle) }()
	return o
}

func listen(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func startPair(b *testing.B) (*fleet.Holdings, *countingDialer) {
	b.Helper()
	vms := []hawthornrail.VM{
		hawthornrail.NewVM("vm1", "dc1", listen(b), false), hawthornrail.NewVM("vm2", "dc1", listen(b), false),
	}
	d := &countingDialer{Dialer: *dial.New(nil)}
	var first *fleet.Holdings
	for _, v := range vms {
		o := startVM(b, v, vms, d)
		if first == nil {
			first = o
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	first.Start(ctx)
	for deadline := time.Now().Add(serveTimeout); ; time.Sleep(time.Millisecond) {
		if !first.Pairings()[first.Holding()].Backup().IsZero() {
			return first, d
		}
		if time.Now().After(deadline) {
			b.Fatal("no backup")
		}
	}
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Measures the replication of one call, at both ends: an intent with its new
// messages and an outcome with its response.
func BenchmarkReplicateTurn(b *testing.B) {
	o, d := startPair(b)
	id := hawthornrail.NewProgramID(o.Holding(), 1, "team", secret)
	tree := ledger.NewTree(id)
	step := func(change hawthornrail.Change) {
		s := tree.Next(change)
		if err := o.Replicate(context.Background(), s, func() error { return tree.Apply(s) }); err != nil {
			b.Fatal(err)
		}
	}
	step(hawthornrail.NewCreateTree("team", "d", hawthornrail.NewBudget(1<<40, 1<<60, time.Hour, 0, 0), time.Now()))
	prompt, response, digest := make([]byte, promptBytes), make([]byte, responseBytes), make([]byte, 32)
	d.bytes.Store(0)
	cpu := cpuTime(b)
	b.ResetTimer()
	for n := range b.N {
		number := uint64(n + 1)
		step(hawthornrail.NewIntent(0, number, digest, "engine-1", true, 100).WithMessages(prompt))
		step(hawthornrail.NewResponseOutcome(0, number, 200, "application/json", response).WithMessage(response).WithUsedTokens(100))
	}
	b.StopTimer()
	b.ReportMetric(float64(d.bytes.Load())/float64(b.N), "bytes/turn")
	b.ReportMetric(float64(cpuTime(b)-cpu)/float64(b.N), "cpu-ns/turn")
}

// Measures one second of heartbeats of one holding.
func BenchmarkHeartbeatSecond(b *testing.B) {
	_, d := startPair(b)
	d.bytes.Store(0)
	cpu := cpuTime(b)
	for range b.N {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64(d.bytes.Load())/float64(b.N), "bytes/s")
	b.ReportMetric(float64(cpuTime(b)-cpu)/float64(b.N), "cpu-ns/s")
}
