package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	closeTimeout = 8 * time.Second
	// replyBytes do not fit the window of a stream.
	replyBytes      = 4 << 20
	replyEndTimeout = 5 * time.Second
)

// blockingDialer makes connections that block their second write, the proof,
// until open is closed.
type blockingDialer struct {
	reached chan struct{}
	open    chan struct{}
}

// Dial connects to an address.
func (d blockingDialer) Dial(_ context.Context, address string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	return &blockingConn{Conn: conn, dialer: d}, err
}

type blockingConn struct {
	net.Conn
	dialer blockingDialer
	writes int
}

// Write blocks the second write.
func (c *blockingConn) Write(p []byte) (int, error) {
	c.writes++
	if c.writes == 2 {
		close(c.dialer.reached)
		<-c.dialer.open
	}
	return c.Conn.Write(p)
}

// A connection whose handshake ends while the server closes does not block
// Close.
func TestCloseDuringHandshake(t *testing.T) {
	s := peer.NewServer(serverInstance, []byte("secret"), nil, clock.Real(), events.Discard())
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(func(context.Context, *vmpb.Open, *peer.Stream) {}) }()
	dialer := blockingDialer{reached: make(chan struct{}), open: make(chan struct{})}
	c := peer.NewClient(clientInstance, []byte("secret"), nil, clock.Real(), dialer)
	t.Cleanup(c.Close)
	go func() {
		_, _ = c.Open(context.Background(), address.String(), &vmpb.Open{})
	}()
	<-dialer.reached
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
	time.AfterFunc(100*time.Millisecond, func() { close(dialer.open) })
	select {
	case <-closed:
	case <-time.After(closeTimeout):
		t.Error("the server did not close")
	}
}

// Guards against replies that are held for seconds after the VM that requested them has left.
func TestReplyEndsWithItsRequest(t *testing.T) {
	s := peer.NewServer(serverInstance, []byte("secret"), nil, clock.Real(), events.Discard())
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sent := make(chan error, 1)
	go func() {
		_ = s.Serve(func(_ context.Context, _ *vmpb.Open, stream *peer.Stream) {
			sent <- stream.Send(&vmpb.ChainLoadReply{Content: make([]byte, replyBytes)})
		})
	}()
	t.Cleanup(s.Close)
	c := peer.NewClient(clientInstance, []byte("secret"), nil, clock.Real(), dial.New(nil))
	t.Cleanup(c.Close)
	e, err := c.Open(t.Context(), address.String(), &vmpb.Open{})
	if err != nil {
		t.Fatal(err)
	}
	e.Close()
	select {
	case err := <-sent:
		if err == nil {
			t.Error("the reply was sent")
		}
	case <-time.After(replyEndTimeout):
		t.Errorf("the reply is still held after %v", replyEndTimeout)
	}
}
