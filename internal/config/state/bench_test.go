package state_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"hawthornrail.example/hawthornrail/internal/config/state"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
)

const (
	deploymentCount = 9_900
	keyCount        = 20_000
	endpointCount   = 7_500
	vmCount         = 340
)

func fullSizeConfiguration() []objects.Object {
	var list []objects.Object
	add := func(kind string, count int, value func(i int) any) {
		for i := range count {
			data, _ := json.Marshal(value(i))
			list = append(list, objects.Object{
				Kind: kind, Name: fmt.Sprintf("%s-%d", kind, i), Version: uint64(len(list) + 1), Value: data,
			})
		}
	}
	add(objects.KindDeployment, deploymentCount, func(i int) any {
		return objects.Deployment{
			Team: fmt.Sprintf("team%d", i), RatePerSecond: 1, Burst: 10, Models: []string{"counter"}, Services: []string{"orders"},
			Source: &objects.Source{Template: "branch", Text: "template = \"branch\"\n[parameters]\nteam = \"t\"\nrate = 1.0\n"},
		}
	})
	add(objects.KindKey, keyCount, func(i int) any {
		return objects.Key{Hash: fmt.Sprintf("%064d", i), Deployment: fmt.Sprintf("deployment-%d", i%deploymentCount)}
	})
	add(objects.KindEndpoint, endpointCount, func(i int) any {
		return objects.Endpoint{Kind: "engine", DataCentre: "dc1", Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), Serves: []string{"counter"}}
	})
	add(objects.KindVM, vmCount, func(int) any { return objects.VM{DataCentre: "dc1", Address: "10.0.0.1:7000"} })
	return list
}

// Measures the cost of one change at full size: applying it and building the
// snapshot.
func BenchmarkChange(b *testing.B) {
	all := fullSizeConfiguration()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := state.New()
	revision := uint64(len(all))
	s.Replace(all, revision)
	snapshot, _ := s.Snapshot()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		o := all[0]
		o.Version = revision + 1
		s.ApplyChanges([]objects.Object{o}, revision, revision+1)
		revision++
		snapshot, _ = s.Snapshot()
	}
	runtime.KeepAlive(snapshot)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-held")
}
