// Package share divides a team's rate and burst into shares for VMs and decides
// how much of its share a VM may use while the division changes.
package share
