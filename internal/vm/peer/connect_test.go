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

// slowDialer takes its time for each connection and counts them.
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

func askWithin(c *peer.Client, address string, limit time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	start := time.Now()
	_, err := c.Ask(ctx, address, &vmpb.Open{Kind: &vmpb.Open_Step{Step: &vmpb.Step{}}}, &vmpb.StepReply{})
	return time.Since(start), err
}

// A VM takes longer to connect to than a request with little time left waits.
func TestSlowConnection(t *testing.T) {
	address := startServer(t, "fleet secret", func(_ context.Context, _ *vmpb.Open, s *peer.Stream) {
		_ = s.Send(&vmpb.StepReply{Accepted: true})
	})
	d := &slowDialer{delay: 300 * time.Millisecond}
	c := peer.NewClient(asking, []byte("fleet secret"), nil, clock.Real(), d)
	t.Cleanup(c.Close)
	t.Run("a request waits no longer than its time", func(t *testing.T) {
		for range 3 {
			if took, err := askWithin(c, address, 60*time.Millisecond); err == nil || took > 150*time.Millisecond {
				t.Errorf("waited %v of 60ms, error %v", took, err)
			}
		}
	})
	t.Run("the next one finds the connection made", func(t *testing.T) {
		if _, err := askWithin(c, address, 2*time.Second); err != nil {
			t.Error(err)
		}
		if n := d.dials.Load(); n != 1 {
			t.Errorf("%d connections were made for one VM", n)
		}
	})
}
