// Package fleet forwards requests, replicates program steps and routes the
// creation and end of programs between VMs.
package fleet
