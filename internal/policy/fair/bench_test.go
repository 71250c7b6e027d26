package fair_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"hawthornrail.example/hawthornrail/internal/policy/fair"
)

// BenchmarkOrder adds a request to an order with a given number of waiting
// requests and takes the next one.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000, 260_000} {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			limits := fair.DefaultLimits()
			limits.MaxWaiting = n + 1
			o := fair.NewScheduler(limits, rand.New(rand.NewPCG(1, 1)))
			teams := make([]string, min(n, 9900))
			for i := range teams {
				teams[i] = fmt.Sprintf("team-%d", i)
			}
			add := func(i int) {
				o.Add(ticket(teams[i%len(teams)], 1+float64(i%7), float64(i%50_000), 1000), start.Add(time.Duration(i)*time.Millisecond))
			}
			for i := range n {
				add(i)
			}
			h := hdrhistogram.New(1, int64(time.Second), 3)
			b.ReportAllocs()
			for i := n; b.Loop(); i++ {
				begin := time.Now()
				add(i)
				o.Next(true)
				_ = h.RecordValue(int64(time.Since(begin)))
			}
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
		})
	}
}
