// Package contact tracks whether this VM reaches the endpoints of each service, checks
// the way to them when it is in doubt, and finds the way around through other VMs.
package contact
