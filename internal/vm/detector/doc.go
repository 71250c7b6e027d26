// Package detector is a failure detector: it decides which VMs are suspected to
// be down from the requests that they did or did not reply to. It does no I/O.
package detector
