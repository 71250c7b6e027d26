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
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// listener keeps the questions that a VM asks and answers none of them.
type listener struct {
	mu    sync.Mutex
	asked []*vmpb.ObjectsAsk
	heard chan struct{}
}

func (l *listener) Ask(_ context.Context, _ string, open *vmpb.Open, _ proto.Message) (hawthornrail.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, open.GetObjectsAsk())
	if len(l.asked) == 1 {
		close(l.heard)
	}
	return hawthornrail.Instance{}, errNoAnswer
}

var errNoAnswer = errors.New("no answer")

// All VMs of a fleet start at once: they must not ask each other for whole lists
// that the store is about to send them.
func TestStartAsksForNoLists(t *testing.T) {
	ask := func(lost bool) int {
		l := &listener{heard: make(chan struct{})}
		contact := mirror.NewContact("dc1")
		if lost {
			contact.Failed(kind)
		}
		e := mirror.NewExchange(mirror.ExchangeParts{
			Mirror: mirror.New(func(string, []hawthornrail.Object) {}), Contact: contact, Duty: mirror.NewDuty(),
			Kinds: []string{kind}, Peers: func() []string { return []string{"10.0.0.1:1"} }, Asker: l, Clock: clock.Real(),
		})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		go e.Run(ctx)
		select {
		case <-l.heard:
		case <-ctx.Done():
			t.Fatal("nothing is asked")
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.asked[0].GetHeld())
	}
	t.Run("the store answers", func(t *testing.T) {
		if n := ask(false); n != 0 {
			t.Errorf("asked for %d lists", n)
		}
	})
	t.Run("the store is away", func(t *testing.T) {
		if n := ask(true); n != 1 {
			t.Errorf("asked for %d lists, want 1", n)
		}
	})
}
