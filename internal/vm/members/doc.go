// Package members maintains the membership of the fleet by gossip: each VM
// sends a heartbeat to one other VM at a time, and heartbeats carry membership
// updates, so that the cost per VM does not grow with the fleet.
package members
