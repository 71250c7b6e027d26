// Package replica keeps the second copies of the program trees of other VMs.
package replica
