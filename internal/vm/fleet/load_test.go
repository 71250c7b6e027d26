package fleet_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/standin/caller"
	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

func startPrograms(bed *testbed.Bed, programs, turns int, pause time.Duration) <-chan *caller.Report {
	options := caller.Options{
		Key: bed.Key, Model: testbed.Model, Service: testbed.Service, Programs: programs,
		Concurrent: 20, Turns: turns, Pause: pause, Seed: 1, Progress: io.Discard,
	}
	for _, v := range bed.VMs {
		options.VMs = append(options.VMs, v.Caller)
	}
	done := make(chan *caller.Report, 1)
	go func() { done <- caller.Run(context.Background(), options) }()
	return done
}

func assertReport(t *testing.T, r *caller.Report) {
	t.Helper()
	var text bytes.Buffer
	_ = r.Write(&text)
	if err := r.Err(); err != nil {
		t.Errorf("%v:\n%s", err, text.String())
	}
	t.Log(text.String())
}

// Programs continue without lost or reordered calls while each VM in turn is
// killed and restarted.
func TestProgramsSurviveKilledVMs(t *testing.T) {
	bed := newBed(t, 1, 3)
	done := startPrograms(bed, 100, 10, 500*time.Millisecond)
	for _, v := range bed.VMs {
		bed.WaitPaired(bed.VMs...)
		v.Kill()
		v.Start()
		v.WaitReady()
	}
	assertReport(t, <-done)
	assertExecutedOnce(t, bed)
}

// Running programs writes nothing to the platform.
func TestProgramsNeedNoPlatformWrites(t *testing.T) {
	bed := newBed(t, 1, 3)
	bed.WaitPaired(bed.VMs...)
	assertReport(t, <-startPrograms(bed, 1000, 2, time.Millisecond))
	if n := bed.Platform.Counts().Writes; n != 0 {
		t.Errorf("got %d writes for 1000 programs, want none", n)
	}
}
