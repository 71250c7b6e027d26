//go:build review

// Command bed plays a case of the third review: it starts the project's processes, stand-ins
// of workers, clients and the platform's store, and judges one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playTimeLimit is when a run is given up, so that it ends by itself.
const playTimeLimit = 110 * time.Second

// cases maps the name of a case to its play, which reports whether the rule held.
var cases = map[string]func(b *bed, trouble bool) (held bool){
	"timeout":  playTimeout,
	"budget":   playBudget,
	"resumed":  playResumed,
	"versions": playVersions,
	"quota":    playQuota,
	"limit":    playLimit,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed CASE RECORD")
		os.Exit(2)
	}
	b := newBed(os.Args[2], "z-a", "z-b", "z-c")
	go giveUp()
	held := cases[os.Args[1]](b, os.Getenv("TROUBLE") != "0")
	b.record("rule held: %t", held)
	b.stop()
	fmt.Println(os.Args[1], "rule held:", held)
	if !held {
		os.Exit(1)
	}
}

// giveUp ends the run if it is interrupted or takes too long.
func giveUp() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case s := <-signals:
		cannotRun("interrupted by %v", s)
	case <-time.After(playTimeLimit):
		cannotRun("not done after %v", playTimeLimit)
	}
}
