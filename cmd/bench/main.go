// Command bench compares the policy with plain balancers.
package main

import (
	"os"

	"hawthornrail.example/hawthornrail/internal/standin/bench"
)

func main() {
	os.Exit(bench.Main(os.Args, os.Stdout, os.Stderr))
}
