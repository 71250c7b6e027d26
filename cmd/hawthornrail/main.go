// Command hawthornrail runs the scheduler's process on an entry VM and provides
// the operators' command line.
package main

import (
	"os"

	"hawthornrail.example/hawthornrail/internal/operator/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args, os.Stdout, os.Stderr))
}
