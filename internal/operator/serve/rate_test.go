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
	// clockError is the assumed difference of the machines' clocks.
	clockError = 0.01
)

// span is the time in which a caller's request was admitted.
type span struct {
	from time.Duration
	to   time.Duration
}

// sprayer sends requests of one team to all VMs for a time.
type sprayer struct {
	bed   *testbed.Bed
	begin time.Time

	mu       sync.Mutex
	admitted []span
	refused  []testbed.Reply
}

func (s *sprayer) run(length time.Duration) {
	var wait sync.WaitGroup
	for i := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			// Half of the callers stay at one VM.
			for n := 0; time.Since(s.begin) < length; n++ {
				s.call(s.bed.VMs[(i%2)*(i+n)%len(s.bed.VMs)])
			}
		}()
	}
	wait.Wait()
}

func (s *sprayer) call(v *testbed.VM) {
	from := time.Since(s.begin)
	reply := v.Ask(s.bed.Key, "", 1, "hello")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case reply.Code == "rate_limited":
		s.refused = append(s.refused, reply)
	case reply.OK():
		s.admitted = append(s.admitted, span{from, time.Since(s.begin)})
	}
}

// assertWithin checks every window: requests sent and answered in it were
// admitted in it.
func assertWithin(t *testing.T, admitted []span, rate, burst float64) {
	t.Helper()
	slices.SortFunc(admitted, func(a, b span) int { return int(a.to - b.to) })
	for i, first := range admitted {
		count := 0
		for _, last := range admitted {
			if last.from < first.from {
				continue
			}
			count++
			limit := burst + rate*(1+clockError)*(last.to-first.from).Seconds()
			if float64(count) > limit+1e-6 {
				t.Fatalf("%d requests admitted within %s from request %d, at most %.2f are allowed", count, last.to-first.from, i, limit)
			}
		}
	}
}

// No team gets more than its rate and burst over all VMs, while a VM is
// killed and started again and another is frozen and woken.
func TestRateOverRealProcesses(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 2, Engines: 1})
	d := testbed.DefaultDeployment()
	d.RatePerSecond, d.Burst = testRate, testBurst
	bed.Apply(testbed.Deployment, d)
	for _, v := range bed.VMs {
		v.WaitReady()
	}
	// The former rate may be used until the new one is in force everywhere.
	time.Sleep(2 * time.Second)
	s := &sprayer{bed: bed, begin: time.Now()}
	faults := func() {
		time.Sleep(1500 * time.Millisecond)
		bed.VMs[1].Freeze()
		time.Sleep(1500 * time.Millisecond)
		bed.VMs[2].Kill()
		bed.VMs[1].Thaw()
		time.Sleep(500 * time.Millisecond)
		bed.VMs[2].Start()
	}
	go faults()
	s.run(7 * time.Second)
	t.Logf("%d admitted, %d refused", len(s.admitted), len(s.refused))
	assertWithin(t, s.admitted, testRate, testBurst)
	if len(s.admitted) < int(testRate*7/2) {
		t.Errorf("%d admitted, want at least half of the rate", len(s.admitted))
	}
	for _, reply := range s.refused {
		if reply.Verdict != "not_run" || reply.Retry <= 0 {
			t.Fatalf("refused with verdict %s and retry after %s", reply.Verdict, reply.Retry)
		}
	}
}
