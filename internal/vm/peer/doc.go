// Package peer implements the protocol between VMs: protobuf messages over
// multiplexed streams of mutually authenticated connections.
package peer
