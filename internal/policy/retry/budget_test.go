package retry_test

import (
	"testing"

	"hawthornrail.example/hawthornrail/internal/policy/retry"
	"pgregory.net/rapid"
)

// Guards against more retries than 10 plus one tenth of the requests, for any
// sequence of requests and retries.
func TestRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, requests, retries := retry.NewBudget(), 0, 0
		for _, isRetry := range rapid.SliceOf(rapid.Bool()).Draw(t, "retries") {
			if !isRetry {
				requests++
				budget.Deposit()
			} else if budget.Withdraw() {
				retries++
			}
			if float64(retries) > 10+0.1*float64(requests)+1e-9 {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

func TestNewBudgetAllowsTenRetries(t *testing.T) {
	budget := retry.NewBudget()
	for i := range 10 {
		if !budget.Withdraw() {
			t.Fatalf("retry %d is refused", i+1)
		}
	}
	if budget.Withdraw() {
		t.Error("an eleventh retry is allowed")
	}
}
