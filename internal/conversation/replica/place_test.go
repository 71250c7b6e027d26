package replica

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/store"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// longContent does not fit the window of a stream.
	longContent = 3 << 20
	readTimeout = 10 * time.Second
	// settleTime is how long requests have to be served further than they should.
	settleTime = 300 * time.Millisecond
)

// countingDisk counts the bytes that are read from it.
type countingDisk struct {
	store.Disk
	read *atomic.Int64
}

func (d countingDisk) Create(path string) (store.File, error) {
	f, err := d.Disk.Create(path)
	return countingFile{File: f, read: d.read}, err
}

type countingFile struct {
	store.File
	read *atomic.Int64
}

func (f countingFile) ReadAt(data []byte, offset int64) (int, error) {
	n, err := f.File.ReadAt(data, offset)
	f.read.Add(int64(n))
	return n, err
}

// server is a VM with a disk, and another VM that is connected to it.
type server struct {
	address string
	client  *peer.Client
	read    atomic.Int64
}

// newServer returns a VM that has the turns "long" and "short".
func newServer(t *testing.T) *server {
	t.Helper()
	s := &server{}
	config := newFleet(t, t.TempDir(), 1, 1, 0)
	t.Cleanup(config.close)
	disk := quickDisk{Disk: countingDisk{Disk: store.NewDisk(), read: &s.read}, fails: func() bool { return false }}
	turns, err := store.Open(store.Options{Folder: t.TempDir(), LimitBytes: 64 << 20, Clock: clock.Real(), Disk: disk})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = turns.Close() })
	for id, size := range map[string]int{"long": longContent, "short": 2 << 10} {
		turn := hawthornrail.NewTurn(turnRef(id), bytes.Repeat([]byte("a"), size), nil).WithRetention(time.Now(), time.Hour)
		if err := turns.Append(turn); err != nil {
			t.Fatal(err)
		}
	}
	vm := config.vms[0]
	r := New(Dependencies{Address: vm.self.Address(), Store: turns, Keeper: config.keeper, Config: vm, Invoker: vm, Clock: clock.Real(), Log: events.Discard()})
	listener := peer.NewServer(hawthornrail.NewInstance("disk", "dc1", 1), nil, nil, clock.Real(), events.Discard())
	address, err := listener.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = address.String()
	go func() {
		_ = listener.Serve(func(ctx context.Context, open *vmpb.Open, stream *peer.Stream) { r.Receive(ctx, open, stream) })
	}()
	t.Cleanup(listener.Close)
	s.client = peer.NewClient(hawthornrail.NewInstance("vm", "dc1", 1), nil, nil, clock.Real(), dial.New(nil))
	t.Cleanup(s.client.Close)
	return s
}

// request requests a turn and does not read the reply.
func (s *server) request(t *testing.T, kind *vmpb.Open) *peer.Exchange {
	t.Helper()
	e, err := s.client.Open(t.Context(), s.address, kind)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func loadOf(id string) *vmpb.Open {
	return &vmpb.Open{Kind: &vmpb.Open_ChainLoad{ChainLoad: &vmpb.ChainLoad{Ref: convert.TurnRefToWire(turnRef(id))}}}
}

func fetchOf(id string) *vmpb.Open {
	return &vmpb.Open{Kind: &vmpb.Open_TurnFetch{TurnFetch: &vmpb.TurnFetch{Refs: []*vmpb.TurnRef{convert.TurnRefToWire(turnRef(id))}}}}
}

// Guards against a VM whose memory is filled by replies that others are slow to read, and
// against short chains that wait for them.
func TestContentIsHeldUntilItIsSent(t *testing.T) {
	for name, open := range map[string]func(id string) *vmpb.Open{"chains": loadOf, "turns for repair": fetchOf} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t)
			for range 5 * maxLong {
				s.request(t, open("long"))
			}
			time.Sleep(settleTime)
			if read := s.read.Load() / longContent; read > maxLong {
				t.Errorf("%d contents were read of %d that may be held at once", read, maxLong)
			}
			start := time.Now()
			var short vmpb.ChainLoadReply
			if err := s.request(t, loadOf("short")).Receive(&short); err != nil || len(short.GetContent()) == 0 || time.Since(start) > time.Second {
				t.Errorf("short chain: %s, error %v, after %v", short.GetState(), err, time.Since(start))
			}
		})
	}
}

// Guards against places that are not given back, by callers that leave while they wait for
// one too.
func TestPlacesAreGivenBack(t *testing.T) {
	s := newServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	for range 5 * maxLong {
		if _, err := s.client.Open(ctx, s.address, loadOf("long")); err != nil {
			t.Fatal(err)
		}
	}
	cancel()
	done := make(chan error, 2*maxLong)
	for range cap(done) {
		e := s.request(t, loadOf("long"))
		go func() {
			var reply vmpb.ChainLoadReply
			err := e.Receive(&reply)
			if err == nil && len(reply.GetContent()) != longContent {
				err = fmt.Errorf("%s, %d bytes", reply.GetState(), len(reply.GetContent()))
			}
			done <- err
		}()
	}
	late := time.After(readTimeout)
	for range cap(done) {
		select {
		case err := <-done:
			if err != nil {
				t.Error(err)
			}
		case <-late:
			t.Fatal("a chain is not sent")
		}
	}
}
