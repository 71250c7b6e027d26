package serve_test

import (
	"encoding/json"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/platform/objects"
	"hawthornrail.example/hawthornrail/internal/standin/engine"
	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

func tokensSeen(e *engine.Engine) uint64 { return e.Load().HitTokens + e.Load().PrefillTokens }

// A draining endpoint gets no new calls after 3 seconds.
func TestDrainingEngine(t *testing.T) {
	const draining, calls = "engine-dc1-1", 20
	bed := testbed.New(t, testbed.Options{DataCentres: 1, VMs: 2, Engines: 2, Services: 1})
	callAll := func() {
		for i := range calls {
			vm := bed.VMs[i%len(bed.VMs)]
			assertOK(t, testbed.Retry(func() testbed.Reply { return vm.Ask(bed.Key, "", 1, "hello") }))
		}
	}
	unused := func() bool {
		before := tokensSeen(bed.Engines[draining])
		callAll()
		return tokensSeen(bed.Engines[draining]) == before
	}
	if unused() {
		t.Fatalf("%s is not used while it is not draining", draining)
	}
	o, _ := bed.Store().Get(objects.KindEndpoint, draining)
	var value objects.Endpoint
	if err := json.Unmarshal(o.Value, &value); err != nil {
		t.Fatal(err)
	}
	value.Draining = true
	bed.Put(objects.KindEndpoint, draining, value)
	bed.Eventually(3*time.Second, "the draining engine gets no calls", unused)
	for range 3 {
		if !unused() {
			t.Error("the draining engine got calls again")
		}
	}
}
