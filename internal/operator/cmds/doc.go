// Package cmds is the command line of hawthornrail.
package cmds
