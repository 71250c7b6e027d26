//go:build review

// Command standin runs the cases of the review: it starts the project's processes with
// the commands of the deploy file, and stands in for the platform, workers and callers.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("rule is broken")

// setup is what a case starts with.
type setup struct {
	names  names
	record *record
	// trouble is false if the case runs without its disruption. Where there are two, cut
	// is the second one, which TROUBLE=part leaves in force alone.
	trouble bool
	cut     bool
}

var cases = map[string]func(setup) error{
	"body":     bodyCase,
	"budget":   budgetCase,
	"deadly":   deadlyCase,
	"drain":    drainCase,
	"isolated": isolatedCase,
	"long":     longCase,
	"memory":   memoryCase,
	"resume":   resumeCase,
	"tenants":  tenantsCase,
	"unframed": unframedCase,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin: want the name of a case and its folder")
		return exitFailed
	}
	n, err := loadNames()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE")
	err = cases[os.Args[1]](setup{names: n, record: r, trouble: trouble != "0" && trouble != "part", cut: trouble != "0"})
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitFailed
	}
	r.add("result: exit code %d, %v", code, err)
	fmt.Println("exit code", code, err)
	if err := r.close(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	return code
}
