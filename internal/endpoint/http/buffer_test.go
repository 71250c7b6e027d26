package http_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"hawthornrail.example/hawthornrail/internal/endpoint/http"
)

const (
	bodyLimit  = 3000
	totalLimit = 5000
)

func newBuffers() *http.Buffers {
	return http.NewBuffers(http.BufferLimits{BodyBytes: bodyLimit, EventBytes: bodyLimit, TotalBytes: totalLimit})
}

func assertHeld(t *testing.T, b *http.Buffers, want int64) {
	t.Helper()
	if b.Held() != want {
		t.Errorf("%d bytes held, want %d", b.Held(), want)
	}
}

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a body that is cut at its limit and taken for whole.
func TestBodyIsWholeOrAnError(t *testing.T) {
	for _, size := range []int{0, 1, 1023, 1024, 1025, bodyLimit - 1, bodyLimit} {
		buffers := newBuffers()
		buffer := buffers.Body()
		want := bytes.Repeat([]byte("a"), size)
		got, err := buffer.ReadAll(iotest.OneByteReader(bytes.NewReader(want)))
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("body of %d bytes: got %d, error %v", size, len(got), err)
		}
		buffer.Release()
		assertHeld(t, buffers, 0)
	}
	for name, body := range map[string]io.Reader{"one byte more": bytes.NewReader(make([]byte, bodyLimit+1)), "without end": endless{}} {
		t.Run(name, func(t *testing.T) {
			if _, err := newBuffers().Body().ReadAll(body); !errors.Is(err, http.ErrOversized) {
				t.Errorf("got %v, want ErrOversized", err)
			}
		})
	}
}

// Guards against many responses, each within its limit, that exceed the memory of the
// process together.
func TestResponsesShareTheirMemory(t *testing.T) {
	buffers := newBuffers()
	first, second := buffers.Body(), buffers.Event()
	if err := first.Hold(bodyLimit); err != nil {
		t.Fatal(err)
	}
	if err := second.Hold(bodyLimit); !errors.Is(err, http.ErrBuffersFull) {
		t.Errorf("got %v, want ErrBuffersFull", err)
	}
	assertHeld(t, buffers, bodyLimit)
	first.Release()
	if err := second.Hold(bodyLimit); err != nil {
		t.Errorf("after a release: %v", err)
	}
	second.Release()
	second.Release()
	assertHeld(t, buffers, 0)
}

// Guards against an endpoint that sends without end and thereby keeps requests from all
// other endpoints: only what callers leave unread does.
func TestOnlyUnreadResponsesKeepRequestsOut(t *testing.T) {
	buffers := http.NewBuffers(http.BufferLimits{BodyBytes: 100, EventBytes: 100, TotalBytes: 100})
	body := buffers.Body()
	if err := body.Hold(90); err != nil {
		t.Fatal(err)
	}
	if buffers.Full() {
		t.Error("a response that is still received keeps requests out")
	}
	body.AwaitCaller()
	if !buffers.Full() {
		t.Error("an unread response of 90 of 100 bytes does not keep requests out")
	}
	body.Release()
	if buffers.Full() || buffers.Held() != 0 {
		t.Errorf("full: %t, %d bytes are held after the release", buffers.Full(), buffers.Held())
	}
}
