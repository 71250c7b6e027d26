// Package replica keeps the second copies of the program trees that other VMs
// hold, and takes them over by the rule of package pair.
package replica
