package client_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/client"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// relayed counts the requests that are relayed, and replies to none.
type relayed struct{ requests int }

func (r *relayed) Invoke(context.Context, string, *vmpb.Open, proto.Message) (hawthornrail.Instance, error) {
	r.requests++
	return hawthornrail.Instance{}, peer.ErrNoReply
}

// newStreams returns streams to a VM that serves requests with handler, and its address.
func newStreams(t *testing.T, handler peer.Handler) (*client.Streams, *relayed, string) {
	t.Helper()
	server := peer.NewServer(hawthornrail.NewInstance("disk", "dc1", 1), nil, nil, clock.Real(), events.Discard())
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(handler) }()
	t.Cleanup(server.Close)
	direct := peer.NewClient(hawthornrail.NewInstance("vm", "dc1", 1), nil, nil, clock.Real(), dial.New(nil))
	t.Cleanup(direct.Close)
	r := &relayed{}
	return client.NewStreams(direct, r), r, address.String()
}

func chainLoad() *vmpb.Open {
	return &vmpb.Open{Kind: &vmpb.Open_ChainLoad{ChainLoad: &vmpb.ChainLoad{Ref: &vmpb.TurnRef{Id: []byte("turn")}}}}
}

// Guards against long chains and turns that hold up small requests to the same VM, or that
// are sent through other VMs too while the VM is slow.
func TestTurnsGoOverStreamsOfTheirOwn(t *testing.T) {
	content := strings.Repeat("chain", 1<<20)
	streams, r, address := newStreams(t, func(_ context.Context, open *vmpb.Open, s *peer.Stream) {
		// Later than requests are relayed.
		time.Sleep(100 * time.Millisecond)
		if open.GetTurnSave() != nil {
			_ = s.Send(&vmpb.TurnSaveReply{Saved: len(open.GetTurnSave().GetTurn().GetInput()) == len(content)})
			return
		}
		_ = s.Send(&vmpb.ChainLoadReply{Content: []byte(content)})
	})
	var chain vmpb.ChainLoadReply
	if from, err := streams.Invoke(t.Context(), address, chainLoad(), &chain); err != nil || from.VM() != "disk" || string(chain.GetContent()) != content {
		t.Errorf("%d bytes from %q, error %v", len(chain.GetContent()), from.VM(), err)
	}
	save := &vmpb.Open{Kind: &vmpb.Open_TurnSave{TurnSave: &vmpb.TurnSave{Turn: &vmpb.Turn{Input: []byte(content)}}}}
	var saved vmpb.TurnSaveReply
	if _, err := streams.Invoke(t.Context(), address, save, &saved); err != nil || !saved.GetSaved() {
		t.Errorf("saved %t, error %v", saved.GetSaved(), err)
	}
	if r.requests != 0 {
		t.Errorf("%d requests relayed", r.requests)
	}
}

// Guards against a VM that is taken for down because it does not serve turns, and against
// one that counts as up although it does not reply.
func TestStreamWithoutReply(t *testing.T) {
	t.Run("declined", func(t *testing.T) {
		streams, _, address := newStreams(t, func(context.Context, *vmpb.Open, *peer.Stream) {})
		if _, err := streams.Invoke(t.Context(), address, chainLoad(), &vmpb.ChainLoadReply{}); !errors.Is(err, peer.ErrDeclined) {
			t.Errorf("error %v", err)
		}
	})
	t.Run("no reply in time", func(t *testing.T) {
		streams, _, address := newStreams(t, func(ctx context.Context, _ *vmpb.Open, _ *peer.Stream) { <-ctx.Done() })
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := streams.Invoke(ctx, address, chainLoad(), &vmpb.ChainLoadReply{})
		if !errors.Is(err, context.DeadlineExceeded) || errors.Is(err, peer.ErrDeclined) {
			t.Errorf("error %v", err)
		}
	})
}

// Guards against a VM that others reach and this one does not.
func TestUnreachedVMIsAskedThroughOthers(t *testing.T) {
	streams, r, address := newStreams(t, nil)
	if _, err := streams.Invoke(t.Context(), "127.0.0.1:1", chainLoad(), &vmpb.ChainLoadReply{}); !errors.Is(err, peer.ErrNoReply) || r.requests != 1 {
		t.Errorf("error %v after %d relayed requests", err, r.requests)
	}
	short := &vmpb.Open{Kind: &vmpb.Open_TurnSave{TurnSave: &vmpb.TurnSave{Turn: &vmpb.Turn{Input: make([]byte, 8<<10), Output: make([]byte, 4<<10)}}}}
	if _, err := streams.Invoke(t.Context(), address, short, &vmpb.TurnSaveReply{}); !errors.Is(err, peer.ErrNoReply) || r.requests != 2 {
		t.Errorf("error %v after %d relayed requests", err, r.requests)
	}
	probe := &vmpb.Open{Kind: &vmpb.Open_ObjectsAsk{ObjectsAsk: &vmpb.ObjectsAsk{}}}
	if _, err := streams.Invoke(t.Context(), "127.0.0.1:1", probe, &vmpb.ObjectsReply{}); !errors.Is(err, peer.ErrNoReply) || r.requests != 3 {
		t.Errorf("error %v after %d relayed requests", err, r.requests)
	}
}
