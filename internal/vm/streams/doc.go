// Package streams tells other VMs which version of a service began a stream, and keeps
// the events of turns of conversations there, so that a caller can take a stream up at any
// of them.
package streams
