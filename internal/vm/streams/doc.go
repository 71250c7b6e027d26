// Package streams tells other VMs which version of a service began a stream, so
// that its caller can take it up at any of them.
package streams
