// Package cmds implements the command line of hawthornrail.
package cmds
