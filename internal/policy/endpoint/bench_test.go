package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
)

// measure runs one decision per iteration and reports the 99th percentile of its
// duration.
func measure(b *testing.B, do func(i int)) {
	h := hdrhistogram.New(1, int64(time.Second), 3)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		begin := time.Now()
		do(i)
		_ = h.RecordValue(int64(time.Since(begin)))
	}
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 7500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			table := newTable(engines(n))
			table.SetSenders(340)
			names := table.Names()
			for _, name := range names {
				table.Report(name, endpoint.NewReport(0, rand.IntN(slots), 100_000, 800_000), start)
			}
			for i := range 765 {
				table.Cached(fmt.Sprint(i), names[i%n], 10_000, start)
			}
			programs := make([]string, 1024)
			for i := range programs {
				programs[i] = fmt.Sprint(i)
			}
			measure(b, func(i int) {
				now := start.Add(time.Duration(i) * time.Microsecond)
				if e, ok := table.Choose(query(programs[i%1024], 12_000), now); ok {
					table.Done(e.Name(), endpoint.Served, time.Second, now)
				}
			})
		})
	}
}

func BenchmarkHints(b *testing.B) {
	for _, n := range []int{1000, 10_000, 60_000} {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			table := newTable(engines(100))
			programs := make([]string, n)
			for i := range programs {
				programs[i] = fmt.Sprintf("program-%d", i)
				table.Cached(programs[i], fmt.Sprintf("e%d", i%100), 10_000, start)
			}
			measure(b, func(i int) {
				if e, ok := table.Choose(query(programs[i*7919%n], 12_000), start); ok {
					table.Done(e.Name(), endpoint.Served, time.Second, start)
				}
			})
		})
	}
}
