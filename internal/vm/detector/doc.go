// Package detector decides which VMs are suspected to be down, from questions
// that they did or did not answer. It does no I/O.
package detector
