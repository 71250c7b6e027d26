package peer_test

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// fewDescriptors is a limit that a test soon reaches.
const fewDescriptors = 64

// useUpDescriptors opens files until a number of descriptors is left. The returned function
// closes them again.
func useUpDescriptors(t *testing.T, left int) (release func()) {
	t.Helper()
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	few := syscall.Rlimit{Cur: fewDescriptors, Max: before.Max}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &few); err != nil {
		t.Fatal(err)
	}
	var files []*os.File
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		files = append(files, f)
	}
	for _, f := range files[:left] {
		_ = f.Close()
	}
	return func() {
		for _, f := range files[left:] {
			_ = f.Close()
		}
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a VM that ends when another one connects while its descriptors are used up.
func TestServerOutlivesLackOfDescriptors(t *testing.T) {
	s := peer.NewServer(serverInstance, []byte("secret"), nil, clock.Real(), events.Discard())
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	shed := make(chan struct{}, 1)
	s.SetShed(func() {
		select {
		case shed <- struct{}{}:
		default:
		}
	})
	served := make(chan error, 1)
	go func() { served <- s.Serve(func(context.Context, *vmpb.Open, *peer.Stream) {}) }()
	t.Cleanup(s.Close)
	release := useUpDescriptors(t, 1)
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		release()
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	select {
	case <-shed:
	case <-time.After(closeTimeout):
		t.Error("no connection is shed")
	case err := <-served:
		t.Errorf("the server ended: %v", err)
	}
	release()
	if _, err := sendStep(t, address.String(), "secret"); !errors.Is(err, peer.ErrDeclined) {
		t.Errorf("request after the shortage: %v", err)
	}
}
