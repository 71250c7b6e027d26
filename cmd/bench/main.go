// Command bench compares the scheduling policy with plain load balancers on the
// same request traces.
package main

import (
	"os"

	"hawthornrail.example/hawthornrail/internal/standin/bench"
)

func main() {
	os.Exit(bench.Main(os.Args, os.Stdout, os.Stderr))
}
