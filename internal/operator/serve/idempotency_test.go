package serve_test

import (
	"net/http"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/standin/platform"
	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

func order(vm *testbed.VM, key, idempotencyKey, body string) testbed.Reply {
	headers := map[string]string{}
	if idempotencyKey != "" {
		headers["Idempotency-Key"] = idempotencyKey
	}
	for {
		reply := vm.Call(key, http.MethodPost, "/v1/services/"+testbed.Service+"/orders", headers, []byte(body))
		if reply.Code != "rate_limited" {
			return reply
		}
		time.Sleep(reply.Retry)
	}
}

func assertRuns(t *testing.T, bed *testbed.Bed, want int) {
	t.Helper()
	got := 0
	for _, n := range bed.Executions() {
		got += n
	}
	if got != want {
		t.Errorf("%d executions, want %d", got, want)
	}
}

// A request with an idempotency key runs at most once, whichever VM or data
// centre its repeats arrive at.
func TestIdempotencyKey(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 2, Engines: 1, Services: 1})
	original := order(bed.VMs[0], bed.Key, "a", "one")
	assertOK(t, original)
	for _, vm := range bed.VMs {
		bed.Eventually(10*time.Second, vm.Name+" knows the other VMs", func() bool {
			return order(vm, bed.Key, "a", "one").OK()
		})
	}

	t.Run("repeat at every VM gets the first response", func(t *testing.T) {
		for _, vm := range bed.VMs {
			repeated := order(vm, bed.Key, "a", "one")
			assertOK(t, repeated)
			if string(repeated.Body) != string(original.Body) {
				t.Errorf("got %s, want %s", repeated.Body, original.Body)
			}
		}
		assertRuns(t, bed, 1)
	})
	t.Run("same key with another request", func(t *testing.T) {
		assertRefused(t, order(bed.VMs[3], bed.Key, "a", "two"), 409, "call_conflict", "not_run")
	})
	t.Run("lost response of the platform", func(t *testing.T) {
		bed.Platform.SetFaults(platform.Faults{LoseResponses: true})
		assertOK(t, order(bed.VMs[1], bed.Key, "b", "one"))
		bed.Platform.SetFaults(platform.Faults{})
		assertOK(t, order(bed.VMs[2], bed.Key, "b", "one"))
		assertOK(t, order(bed.VMs[1], bed.Key, "b", "one"))
		assertRuns(t, bed, 2)
	})
	t.Run("platform unreachable", func(t *testing.T) {
		bed.Platform.SetFaults(platform.Faults{Outage: true})
		assertRefused(t, order(bed.VMs[0], bed.Key, "c", "one"), 503, "claim_unreachable", "may_have_run")
		bed.Platform.SetFaults(platform.Faults{})
		assertRuns(t, bed, 2)
	})
	t.Run("home of the first request partitioned", func(t *testing.T) {
		bed.CutBoth(bed.VMs[3].Name, bed.VMs[0].Name)
		bed.CutBoth(bed.VMs[3].Name, bed.VMs[1].Name)
		reply := order(bed.VMs[3], bed.Key, "a", "one")
		if reply.OK() || reply.Verdict != "may_have_run" {
			t.Errorf("got %d %s %s, want a refusal with may_have_run", reply.Status, reply.Code, reply.Verdict)
		}
		assertRuns(t, bed, 2)
	})
}
