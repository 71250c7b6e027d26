// Package vmpb holds the wire types of the protocol between VMs, generated
// from api/vm/v1/vm.proto.
package vmpb
