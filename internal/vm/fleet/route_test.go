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

// fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct{ snapshot *hawthornrail.Snapshot }

// Snapshot returns the configuration.
func (l fixedConfiguration) Snapshot() *hawthornrail.Snapshot { return l.snapshot }

// Age returns 0, since the configuration is always current.
func (l fixedConfiguration) Age() time.Duration { return 0 }

// A holding without a holder is not searched for again within the delay, so that
// retries don't query the whole fleet each time.
func TestFailedSearchIsNotRepeatedAtOnce(t *testing.T) {
	secret := []byte("fleet secret")
	self := hawthornrail.NewInstance("vm1", "dc1", 1)
	var queries atomic.Int64
	server := peer.NewServer(hawthornrail.NewInstance("vm2", "dc1", 1), secret, nil, clock.Real(), events.Discard())
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = server.Serve(func(_ context.Context, _ *vmpb.Open, s *peer.Stream) {
			queries.Add(1)
			_ = s.Send(&vmpb.WhoHoldsReply{})
		})
	}()
	t.Cleanup(server.Close)
	client := peer.NewClient(self, secret, nil, clock.Real(), dial.New(nil))
	t.Cleanup(client.Close)
	k := clockwork.NewFakeClock()
	config := fixedConfiguration{hawthornrail.NewSnapshot(1, nil, nil, nil, []hawthornrail.VM{hawthornrail.NewVM("vm2", "dc1", address.String(), false)})}
	r := NewRouter(config, nil, client, NewHoldings(HoldingsDependencies{Self: self, Clock: k, Config: config, Log: events.Discard()}))
	removed := hawthornrail.NewInstance("vm3", "dc1", 1)
	assertQueries := func(t *testing.T, want int64) {
		t.Helper()
		if _, err := r.search(context.Background(), removed); err == nil {
			t.Error("a holder was found")
		}
		if got := queries.Load(); got != want {
			t.Errorf("%d VMs were queried, want %d", got, want)
		}
	}
	t.Run("first search queries the VMs", func(t *testing.T) { assertQueries(t, 1) })
	t.Run("search within the delay does not", func(t *testing.T) { assertQueries(t, 1) })
	t.Run("search after the delay queries again", func(t *testing.T) {
		k.Advance(searchRetryDelay)
		assertQueries(t, 2)
	})
}
