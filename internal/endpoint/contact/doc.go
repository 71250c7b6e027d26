// Package contact tracks whether this VM reaches the endpoints of each service, checks
// the path to them when it is in doubt, and finds other VMs that reach them.
package contact
