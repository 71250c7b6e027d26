package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const closeTimeout = 8 * time.Second

// gate is a dialer whose connections hold their second write, the proof, back
// until it is opened.
type gate struct {
	reached chan struct{}
	open    chan struct{}
}

// Dial connects to an address.
func (g gate) Dial(_ context.Context, address string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	return &gatedConn{Conn: conn, gate: g}, err
}

type gatedConn struct {
	net.Conn
	gate   gate
	writes int
}

// Write holds the second write back.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.writes++
	if c.writes == 2 {
		close(c.gate.reached)
		<-c.gate.open
	}
	return c.Conn.Write(p)
}

// A connection whose handshake ends while the server closes does not keep it
// from closing.
func TestCloseDuringHandshake(t *testing.T) {
	s := peer.NewServer(serving, []byte("secret"), nil, clock.Real(), events.Discard())
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(func(context.Context, *vmpb.Open, *peer.Stream) {}) }()
	g := gate{reached: make(chan struct{}), open: make(chan struct{})}
	c := peer.NewClient(asking, []byte("secret"), nil, clock.Real(), g)
	t.Cleanup(c.Close)
	go func() {
		_, _ = c.Open(context.Background(), address.String(), &vmpb.Open{})
	}()
	<-g.reached
	closed := make(chan struct{})
	go func() {
		s.Close()
		close(closed)
	}()
	for {
		// The listener refuses connections once Close has begun.
		probe, err := net.Dial("tcp", address.String())
		if err != nil {
			break
		}
		_ = probe.Close()
	}
	time.AfterFunc(100*time.Millisecond, func() { close(g.open) })
	select {
	case <-closed:
	case <-time.After(closeTimeout):
		t.Error("the server did not close")
	}
}
