package serve_test

import (
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

// BenchmarkIdle measures the processor time of VMs that serve no requests.
func BenchmarkIdle(b *testing.B) {
	bed := testbed.New(b, testbed.Options{DataCentres: 1, VMs: 2, Engines: 1, Services: 1})
	before := bed.CPU()
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.ReportMetric(milliseconds(bed.CPU()-before)/float64(b.N*len(bed.VMs)), "cpu_ms/s/VM")
}
