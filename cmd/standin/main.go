// Command standin plays the outside systems in tests and in the demo.
package main

import (
	"os"

	"hawthornrail.example/hawthornrail/internal/standin/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args, os.Stdout, os.Stderr))
}
