// Command standin simulates the external systems for tests and the demo: the
// platform, engines, services and callers.
package main

import (
	"os"

	"hawthornrail.example/hawthornrail/internal/standin/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args, os.Stdout, os.Stderr))
}
