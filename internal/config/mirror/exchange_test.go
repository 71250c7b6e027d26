package mirror_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/mirror"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/vm/unlisted"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// recordingInvoker records the requests that a VM sends and replies to none.
type recordingInvoker struct {
	mu       sync.Mutex
	requests []*vmpb.ObjectsAsk
	first    chan struct{}
}

func (a *recordingInvoker) Invoke(_ context.Context, _ string, open *vmpb.Open, _ proto.Message) (hawthornrail.Instance, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.requests, open.GetObjectsAsk())
	if len(a.requests) == 1 {
		close(a.first)
	}
	return hawthornrail.Instance{}, errNoReply
}

var errNoReply = errors.New("no reply")

// Guards against VMs that request full lists from each other when the whole
// fleet starts, although the store is about to send them.
func TestStartRequestsNoLists(t *testing.T) {
	requested := func(lost bool) int {
		invoker := &recordingInvoker{first: make(chan struct{})}
		storeHealth := mirror.NewStoreHealth("dc1", inForceTimeout)
		if lost {
			storeHealth.Failed(kind)
		}
		e := mirror.NewExchange(mirror.ExchangeDependencies{
			Mirror: mirror.New(func(string, string, uint64, []hawthornrail.Object) {}), StoreHealth: storeHealth, WatchRole: mirror.NewWatchRole(),
			Kinds: []string{kind}, Peers: func() []string { return []string{"10.0.0.1:1"} }, Invoker: invoker, Clock: clock.Real(),
			Unlisted: unlisted.NewTable(clock.Real(), func([]hawthornrail.VM) {}),
		})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		go e.Run(ctx)
		select {
		case <-invoker.first:
		case <-ctx.Done():
			t.Fatal("no request is sent")
		}
		invoker.mu.Lock()
		defer invoker.mu.Unlock()
		return len(invoker.requests[0].GetHeld())
	}
	t.Run("the store responds", func(t *testing.T) {
		if n := requested(false); n != 0 {
			t.Errorf("%d lists were requested", n)
		}
	})
	t.Run("the store is unresponsive", func(t *testing.T) {
		if n := requested(true); n != 1 {
			t.Errorf("%d lists were requested, want 1", n)
		}
	})
}
