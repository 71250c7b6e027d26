//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// largeBudget is the budget of the first tenant's program.
const largeBudget = 6000

// tenantsCase checks that the budget of one tenant's program does not depend on that of
// another tenant's program with the same id.
func tenantsCase(s setup) error {
	f, err := newFleet(s.names, s.record, []string{"zone-a"})
	if err != nil {
		return err
	}
	defer f.end()
	config, err := renderConfig(configValues{StreamTimeoutMS: 3000})
	if err != nil {
		return err
	}
	f.store.Put("config", "main", config)
	if _, err := startWorkers(f); err != nil {
		return err
	}
	edges, err := startTwoEdges(f)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	first, second := newCaller(s.names, s.record), newCaller(s.names, s.record)
	second.key = otherKey
	id := "program-of-first"
	if s.trouble {
		id = "program"
	}
	if a := first.turn(edges[0].callers, id, largeBudget, turnTokens); a.status != http.StatusOK {
		return fmt.Errorf("the first tenant's turn has status %d", a.status)
	}
	spent := 0
	for range 2 * programBudget / turnTokens {
		a := second.turn(edges[1].callers, "program", programBudget, turnTokens)
		spent += a.events * tokensPerEvent
	}
	s.record.add("the second tenant's program got %d tokens, its budget is %d", spent, programBudget)
	if allowed := programBudget + turnTokens; spent > allowed {
		return fmt.Errorf("%w: %d tokens were handed out, %d are allowed", errBroken, spent, allowed)
	}
	return nil
}
