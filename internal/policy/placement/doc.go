// Package placement selects the VMs with a disk that store the copies of a conversation.
// It does no I/O.
package placement
