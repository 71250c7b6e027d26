// Package members keeps the list of VMs: each VM probes one other at a time
// and passes news on, so that the cost does not grow with the fleet.
package members
