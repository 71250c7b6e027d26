// Package cmds implements the command line of the stand-ins, which simulate the
// systems outside hawthornrail.
package cmds
