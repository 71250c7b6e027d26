package account_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// Guards against a false refusal for a spent budget: concurrent calls of one
// program collect each other's tokens in flight, while the home has more.
func TestCallsAtOnceWithinBudget(t *testing.T) {
	const rounds, atOnce, firstTokens, tokens, budget = 100, 8, 101, 20, 400
	f := newFleet(t, 1)
	for round := range rounds {
		program := fmt.Sprintf("program%d", round)
		f.budgets[program] = budget
		if !f.reserve("dc2", program, "first", firstTokens) {
			t.Fatal("the first call is refused")
		}
		var wait sync.WaitGroup
		for call := range atOnce {
			wait.Add(1)
			go func() {
				defer wait.Done()
				m := &vmpb.AccountReserve{Program: program, Call: fmt.Sprint(call), Budget: budget, Tokens: tokens}
				reply, err := f.holders["dc3"].Reserve(context.Background(), m)
				if err == nil && !reply.GetGranted() && !reply.GetUncertain() {
					t.Errorf("%s: call %d is refused for a spent budget", program, call)
				}
			}()
		}
		wait.Wait()
	}
}
