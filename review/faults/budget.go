//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// eventTokens is what an event counts for, and turnTokens the most of a turn.
	eventTokens = 5
	turnTokens  = 30
	// budget is the budget of the program, 12 turns.
	budget = 360
)

// playBudget: a program runs at a store machine that is alone, whose disk is lost before it
// has told the others what the program has spent.
func playBudget(r *record, trouble bool) error {
	f := newFleet(r, options{config: turnConfig(false, false), disks: 2, edges: []int{0, 1}, configMS: 3000})
	current = f
	f.startWorker("i-engine", 0, turnTokens/eventTokens, 10*time.Millisecond)
	f.startAll()
	f.firstTurns()
	time.Sleep(2 * time.Second)
	handed := 0
	turn := func(edge int) int {
		id := f.nextID("turn")
		a := f.send(edge, "/turns/x", id, "input", turnDeadline,
			"program", "program", "session", "line", "tokens", fmt.Sprintf("100,%d", turnTokens), "budget", fmt.Sprint(budget))
		handed += strings.Count(a.body, "data: ") * eventTokens
		return a.status
	}
	if trouble {
		f.kill(f.storage[1])
		f.kill(f.storage[2])
		f.store.SetDown(true)
		f.record.printf("the platform's store is down")
	}
	for n, failed := 0, 0; n < 6 && failed < 4; n++ {
		if turn(0) != http.StatusOK {
			failed++
		}
	}
	f.record.printf("%d tokens handed out so far", handed)
	if trouble {
		f.kill(f.storage[0])
		check(os.RemoveAll(f.storage[0].folder))
		f.record.printf("the disk of %s is lost", f.storage[0].name)
		f.store.SetDown(false)
		f.record.printf("the platform's store is back")
		time.Sleep(500 * time.Millisecond)
		for _, p := range f.storage {
			f.start(p, false)
		}
		time.Sleep(8 * time.Second)
	}
	// The program was stopped and returns.
	for n, refused := 0, 0; n < 40 && refused < 3; n++ {
		if turn(1) == http.StatusPaymentRequired {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.record.printf("%d tokens handed out, the budget is %d", handed, budget)
	if handed > budget+turnTokens {
		return fmt.Errorf("%w: BUDGET: the turns of a program with a budget of %d tokens handed out %d, more than %d with the most of one turn",
			errBroken, budget, handed, budget+turnTokens)
	}
	return nil
}
