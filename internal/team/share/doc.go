// Package share divides a team's rate and burst over VMs and decides how much
// of its part a VM may use while the division changes.
package share
