// Package relay sends requests to VMs directly and, when they don't reply,
// through other VMs as relays.
package relay
