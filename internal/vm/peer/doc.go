// Package peer speaks the protocol between VMs: protobuf messages over
// multiplexed streams of connections that both ends authenticate.
package peer
