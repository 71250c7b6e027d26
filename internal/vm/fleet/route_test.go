package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// listed is a configuration with one other VM.
type listed struct{ snapshot *hawthornrail.Snapshot }

// Snapshot returns the configuration.
func (l listed) Snapshot() *hawthornrail.Snapshot { return l.snapshot }

// Age returns that the configuration is current.
func (l listed) Age() time.Duration { return 0 }

// A holding that no VM holds is not searched for again at once, so that
// retries don't ask the whole fleet each time.
func TestSearchPause(t *testing.T) {
	secret := []byte("fleet secret")
	self := hawthornrail.NewInstance("vm1", "dc1", 1)
	var asked atomic.Int64
	server := peer.NewServer(hawthornrail.NewInstance("vm2", "dc1", 1), secret, nil, clock.Real(), events.Discard())
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = server.Serve(func(_ context.Context, _ *vmpb.Open, s *peer.Stream) {
			asked.Add(1)
			_ = s.Send(&vmpb.WhoHoldsReply{})
		})
	}()
	t.Cleanup(server.Close)
	client := peer.NewClient(self, secret, nil, clock.Real(), dial.New(nil))
	t.Cleanup(client.Close)
	k := clockwork.NewFakeClock()
	config := listed{hawthornrail.NewSnapshot(1, nil, nil, nil, []hawthornrail.VM{hawthornrail.NewVM("vm2", "dc1", address.String(), false)})}
	r := NewRouter(config, nil, client, NewHoldings(HoldingsParts{Self: self, Clock: k, Config: config, Log: events.Discard()}))
	gone := hawthornrail.NewInstance("vm3", "dc1", 1)
	assertAsks := func(t *testing.T, want int64) {
		t.Helper()
		if _, err := r.search(context.Background(), gone); err == nil {
			t.Error("a holder was found")
		}
		if got := asked.Load(); got != want {
			t.Errorf("%d VMs were asked, want %d", got, want)
		}
	}
	t.Run("first search asks", func(t *testing.T) { assertAsks(t, 1) })
	t.Run("search soon after does not", func(t *testing.T) { assertAsks(t, 1) })
	t.Run("later search asks again", func(t *testing.T) {
		k.Advance(searchPause)
		assertAsks(t, 2)
	})
}
