package http_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
)

// unreachable is a dialer whose connections time out.
type unreachable struct{}

func (unreachable) Dial(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against an endpoint that counts as ended although it accepts
// connections or is only unreachable.
func TestRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	transport := http.New(clock.Real(), dial.New(nil))
	t.Run("accepts connections", func(t *testing.T) {
		if transport.Refused(address) {
			t.Error("refused")
		}
	})
	t.Run("has ended", func(t *testing.T) {
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Fatal(err)
		}
		if !transport.Refused(address) {
			t.Error("not refused")
		}
	})
	t.Run("does not respond", func(t *testing.T) {
		if http.New(clock.Real(), unreachable{}).Refused(address) {
			t.Error("refused")
		}
	})
}
