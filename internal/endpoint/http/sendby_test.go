package http_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
)

type pipeDialer struct{ server net.Conn }

func (d *pipeDialer) Dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	d.server = server
	return client, nil
}

// A VM that was paused after it recorded an intent does not send the request
// once the time to send it has passed.
func TestNoSendAfterSendBy(t *testing.T) {
	clock := clockwork.NewFakeClock()
	dialer := &pipeDialer{}
	transport := http.New(clock, dialer)
	ctx := http.WithSendBy(context.Background(), clock.Now())
	clock.Advance(time.Millisecond)
	_, err := transport.Do(ctx, "10.0.0.1:1", fasthttp.AcquireRequest(), true)
	if !errors.Is(err, http.ErrUnsent) || !errors.Is(err, http.ErrTooLate) {
		t.Errorf("got %v, want ErrUnsent and ErrTooLate", err)
	}
	if n, _ := dialer.server.Read(make([]byte, 1)); n > 0 {
		t.Error("a byte was sent")
	}
}
