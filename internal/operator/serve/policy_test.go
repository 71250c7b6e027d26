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

// A leaving endpoint gets no new work after 3 seconds.
func TestLeavingEngine(t *testing.T) {
	const leaving, calls = "engine-dc1-1", 20
	bed := testbed.New(t, testbed.Options{DataCentres: 1, VMs: 2, Engines: 2, Services: 1})
	callAll := func() {
		for i := range calls {
			vm := bed.VMs[i%len(bed.VMs)]
			assertOK(t, testbed.Retry(func() testbed.Reply { return vm.Ask(bed.Key, "", 1, "hello") }))
		}
	}
	unused := func() bool {
		before := tokensSeen(bed.Engines[leaving])
		callAll()
		return tokensSeen(bed.Engines[leaving]) == before
	}
	if unused() {
		t.Fatalf("%s is not used while it does not leave", leaving)
	}
	o, _ := bed.Store().Get(objects.KindEndpoint, leaving)
	var value objects.Endpoint
	if err := json.Unmarshal(o.Value, &value); err != nil {
		t.Fatal(err)
	}
	value.Leaving = true
	bed.Put(objects.KindEndpoint, leaving, value)
	bed.Eventually(3*time.Second, "the leaving engine gets no work", unused)
	for range 3 {
		if !unused() {
			t.Error("the leaving engine got work again")
		}
	}
}
