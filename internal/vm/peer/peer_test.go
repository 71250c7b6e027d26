package peer_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

var (
	serverInstance = hawthornrail.NewInstance("vm1", "dc1", 7)
	clientInstance = hawthornrail.NewInstance("vm2", "dc1", 9)
)

func startServer(t *testing.T, secret string, handler peer.Handler) string {
	t.Helper()
	s := peer.NewServer(serverInstance, []byte(secret), nil, clock.Real(), events.Discard())
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(handler) }()
	t.Cleanup(s.Close)
	return address.String()
}

func sendStep(t *testing.T, address, secret string) (hawthornrail.Instance, error) {
	t.Helper()
	c := peer.NewClient(clientInstance, []byte(secret), nil, clock.Real(), dial.New(nil))
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply vmpb.StepReply
	return c.Invoke(ctx, address, &vmpb.Open{Kind: &vmpb.Open_Step{Step: &vmpb.Step{}}}, &reply)
}

func TestHandshake(t *testing.T) {
	handler := func(_ context.Context, _ *vmpb.Open, s *peer.Stream) {
		if s.From() == clientInstance {
			_ = s.Send(&vmpb.StepReply{Accepted: true})
		}
	}
	address := startServer(t, "fleet secret", handler)
	t.Run("each end gets the instance of the other", func(t *testing.T) {
		remote, err := sendStep(t, address, "fleet secret")
		if err != nil {
			t.Fatal(err)
		}
		if remote != serverInstance {
			t.Errorf("got %s, want %s", remote, serverInstance)
		}
	})
	t.Run("another secret is rejected before anything is sent", func(t *testing.T) {
		if _, err := sendStep(t, address, "another secret"); !errors.Is(err, peer.ErrUnsent) {
			t.Errorf("got %v, want %v", err, peer.ErrUnsent)
		}
	})
}

func TestRequestReplyMatching(t *testing.T) {
	handler := func(_ context.Context, open *vmpb.Open, s *peer.Stream) {
		// Only requests with an even sequence get a reply, in any order.
		if sequence := open.GetStep().GetSequence(); sequence%2 == 0 {
			_ = s.Send(&vmpb.StepReply{Reason: strconv.FormatUint(sequence, 10)})
		}
	}
	address := startServer(t, "fleet secret", handler)
	c := peer.NewClient(clientInstance, []byte("fleet secret"), nil, clock.Real(), dial.New(nil))
	t.Cleanup(c.Close)
	step := func(ctx context.Context, sequence uint64) (string, error) {
		var reply vmpb.StepReply
		_, err := c.Invoke(ctx, address, &vmpb.Open{Kind: &vmpb.Open_Step{Step: &vmpb.Step{Sequence: sequence}}}, &reply)
		return reply.GetReason(), err
	}
	t.Run("each request gets its own reply", func(t *testing.T) {
		var wait sync.WaitGroup
		for sequence := uint64(0); sequence < 400; sequence += 2 {
			wait.Go(func() {
				reason, err := step(context.Background(), sequence)
				if err != nil || reason != strconv.FormatUint(sequence, 10) {
					t.Errorf("request %d: got %q, %v", sequence, reason, err)
				}
			})
		}
		wait.Wait()
	})
	t.Run("request without a reply", func(t *testing.T) {
		_, err := step(context.Background(), 1)
		if !errors.Is(err, peer.ErrNoReply) || errors.Is(err, peer.ErrUnsent) {
			t.Errorf("got %v, want %v", err, peer.ErrNoReply)
		}
	})
}
