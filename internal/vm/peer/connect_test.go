package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// slowDialer delays each connection and counts them.
type slowDialer struct {
	delay time.Duration
	dials atomic.Int64
}

func (d *slowDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	d.dials.Add(1)
	select {
	case <-time.After(d.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return dial.New(nil).Dial(ctx, address)
}

func requestWithin(c *peer.Client, address string, timeout time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	start := time.Now()
	_, err := c.Invoke(ctx, address, &vmpb.Open{Kind: &vmpb.Open_Step{Step: &vmpb.Step{}}}, &vmpb.StepReply{})
	return time.Since(start), err
}

// Connecting to a VM takes longer than the deadlines of some requests: these
// fail in time, and the connection is still established for the next one.
func TestSlowConnection(t *testing.T) {
	address := startServer(t, "fleet secret", func(_ context.Context, _ *vmpb.Open, s *peer.Stream) {
		_ = s.Send(&vmpb.StepReply{Accepted: true})
	})
	dialer := &slowDialer{delay: 300 * time.Millisecond}
	c := peer.NewClient(clientInstance, []byte("fleet secret"), nil, clock.Real(), dialer)
	t.Cleanup(c.Close)
	t.Run("a request waits no longer than its timeout", func(t *testing.T) {
		for range 3 {
			if elapsed, err := requestWithin(c, address, 60*time.Millisecond); err == nil || elapsed > 150*time.Millisecond {
				t.Errorf("waited %v of 60ms, error %v", elapsed, err)
			}
		}
	})
	t.Run("the next one uses the same connection", func(t *testing.T) {
		if _, err := requestWithin(c, address, 2*time.Second); err != nil {
			t.Error(err)
		}
		if n := dialer.dials.Load(); n != 1 {
			t.Errorf("%d connections were made for one VM", n)
		}
	})
}
