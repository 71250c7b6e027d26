// Package caller simulates a caller: it runs agent programs through the VMs and
// verifies every response.
package caller
