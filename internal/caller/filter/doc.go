// Package filter holds the stages that a caller's request passes on the VM
// that it arrives at.
package filter
