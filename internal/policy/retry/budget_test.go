package retry_test

import (
	"testing"

	"hawthornrail.example/hawthornrail/internal/policy/retry"
	"pgregory.net/rapid"
)

// Retries stay within a tenth of the requests and ten beside, in any order.
func TestRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, requests, retries := retry.NewBudget(), 0, 0
		for _, again := range rapid.SliceOf(rapid.Bool()).Draw(t, "retries") {
			if !again {
				requests++
				b.Earn()
			} else if b.Take() {
				retries++
			}
			if float64(retries) > 10+0.1*float64(requests)+1e-9 {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

func TestFreshBudget(t *testing.T) {
	b := retry.NewBudget()
	for i := range 10 {
		if !b.Take() {
			t.Fatalf("retry %d is refused", i+1)
		}
	}
	if b.Take() {
		t.Error("got an eleventh retry")
	}
}
