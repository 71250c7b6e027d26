package peer_test

import (
	"context"
	"runtime"
	"syscall"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// cpuTime returns the CPU time that the process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// On one processor, closing a connection while streams are read and timers fire
// uses little CPU time. Guards against stream reads that spin until the
// scheduler preempts them, which takes 10 ms each.
func TestCloseDoesNotSpin(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const rounds, streams, maxMean = 10, 6, 20 * time.Millisecond
	address := startServer(t, "", func(ctx context.Context, _ *vmpb.Open, _ *peer.Stream) { <-ctx.Done() })
	var used time.Duration
	for range rounds {
		c := peer.NewClient(clientInstance, nil, nil, clock.Real(), dial.New(nil))
		for range streams {
			e, err := c.Open(t.Context(), address, &vmpb.Open{Kind: &vmpb.Open_Step{Step: &vmpb.Step{}}})
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_ = e.Receive(&vmpb.StepReply{})
				e.Close()
			}()
		}
		stop := fireTimers()
		time.Sleep(time.Millisecond)
		before := cpuTime(t)
		c.Close()
		used += cpuTime(t) - before
		stop()
	}
	if mean := used / rounds; mean > maxMean {
		t.Errorf("a close takes %v of processor time, want at most %v", mean, maxMean)
	}
}

// fireTimers keeps the scheduler busy until stop is called.
func fireTimers() (stop func()) {
	const timers, interval = 200, 20 * time.Microsecond
	done := make(chan struct{})
	for range timers {
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(interval):
				}
			}
		}()
	}
	return func() { close(done) }
}
