// Package replica stores the backup copies of the program trees that other VMs
// hold, and takes over their holdings by the rules of package pair.
package replica
