// Package replica serves the turns of conversations that a VM with a disk stores, and fetches
// those from other VMs that it should store and lacks.
package replica
