package serve_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

const (
	testRate  = 60.0
	testBurst = 40.0
	callers   = 12
	// clockError is the assumed relative difference in the speed of the machines'
	// clocks.
	clockError = 0.01
)

// interval is the time from a request to its response, within which it was
// admitted.
type interval struct {
	start time.Duration
	end   time.Duration
}

// loadGenerator sends requests of one team to all VMs.
type loadGenerator struct {
	bed     *testbed.Bed
	started time.Time

	mu       sync.Mutex
	admitted []interval
	refused  []testbed.Reply
}

func (s *loadGenerator) run(duration time.Duration) {
	var wait sync.WaitGroup
	for i := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			// Half of the callers send all requests to one VM.
			for n := 0; time.Since(s.started) < duration; n++ {
				s.call(s.bed.VMs[(i%2)*(i+n)%len(s.bed.VMs)])
			}
		}()
	}
	wait.Wait()
}

func (s *loadGenerator) call(v *testbed.VM) {
	start := time.Since(s.started)
	reply := v.Ask(s.bed.Key, "", 1, "hello")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case reply.Code == "rate_limited":
		s.refused = append(s.refused, reply)
	case reply.OK():
		s.admitted = append(s.admitted, interval{start, time.Since(s.started)})
	}
}

// assertWithinRate checks the rate in every window. A request that was sent and
// got its response within a window was admitted in it.
func assertWithinRate(t *testing.T, admitted []interval, rate, burst float64) {
	t.Helper()
	slices.SortFunc(admitted, func(a, b interval) int { return int(a.end - b.end) })
	for i, first := range admitted {
		count := 0
		for _, last := range admitted {
			if last.start < first.start {
				continue
			}
			count++
			limit := burst + rate*(1+clockError)*(last.end-first.start).Seconds()
			if float64(count) > limit+1e-6 {
				t.Fatalf("%d requests admitted within %s from request %d, at most %.2f are allowed", count, last.end-first.start, i, limit)
			}
		}
	}
}

// No team exceeds its rate and burst over all VMs while one VM is killed and
// restarted and another one is frozen and resumed.
func TestRateAcrossProcesses(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 2, Engines: 1})
	d := testbed.DefaultDeployment()
	d.RatePerSecond, d.Burst = testRate, testBurst
	bed.Apply(testbed.Deployment, d)
	for _, v := range bed.VMs {
		v.WaitReady()
	}
	// The former rate may be used until the new one is in force everywhere.
	time.Sleep(2 * time.Second)
	s := &loadGenerator{bed: bed, started: time.Now()}
	injectFaults := func() {
		time.Sleep(1500 * time.Millisecond)
		bed.VMs[1].Freeze()
		time.Sleep(1500 * time.Millisecond)
		bed.VMs[2].Kill()
		bed.VMs[1].Thaw()
		time.Sleep(500 * time.Millisecond)
		bed.VMs[2].Start()
	}
	go injectFaults()
	s.run(7 * time.Second)
	t.Logf("%d admitted, %d refused", len(s.admitted), len(s.refused))
	assertWithinRate(t, s.admitted, testRate, testBurst)
	if len(s.admitted) < int(testRate*7/2) {
		t.Errorf("%d admitted, want at least half of the rate", len(s.admitted))
	}
	for _, reply := range s.refused {
		if reply.Verdict != "not_run" || reply.Retry <= 0 {
			t.Fatalf("refused with verdict %s and retry after %s", reply.Verdict, reply.Retry)
		}
	}
}
