//go:build review

// Command faults plays the cases of the review against the project's own programs. It exits
// with 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseTimeout bounds a case; it is less than the 120 seconds that a script may take.
const caseTimeout = 110 * time.Second

// play plays a case; trouble is set unless the disruption is left out. It returns errBroken,
// with what was seen, if the rule was broken.
type play func(r *record, trouble bool) error

var cases = map[string]play{
	"copies":  playCopies,
	"full":    playFull,
	"memory":  playMemory,
	"repair":  playRepair,
	"streams": playStreams,
}

func main() { os.Exit(playCase()) }

// playCase plays the case of the command line and returns the exit code.
func playCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: faults CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	r := &record{file: file, start: time.Now()}
	err = await(r, cases[os.Args[1]])
	if current != nil {
		current.close()
	}
	switch {
	case err == nil:
		r.end("the rule held")
		return 0
	case errors.Is(err, errBroken):
		r.end(err.Error())
		return 1
	}
	r.end("could not run: " + err.Error())
	return 2
}

// await plays a case until it ends, takes too long or is interrupted.
func await(r *record, p play) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() {
		defer func() {
			switch p := recover().(type) {
			case nil:
			case cannotRun:
				ended <- p
			default:
				panic(p)
			}
		}()
		ended <- p(r, os.Getenv("TROUBLE") != "0")
	}()
	select {
	case err := <-ended:
		return err
	case <-time.After(caseTimeout):
		return errors.New("the case takes too long")
	case <-stop:
		return errors.New("interrupted")
	}
}

// current is the deployment that has to be ended.
var current *fleet
