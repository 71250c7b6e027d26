// Package fleet carries requests, program steps and program creation between
// the VMs.
package fleet
