// Package cmds is the command line of the stand-ins.
package cmds
