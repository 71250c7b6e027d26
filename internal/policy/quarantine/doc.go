// Package quarantine decides which requests are refused, by their digests, because the
// endpoints that ran them have crashed. Its state can be merged with that of other
// VMs in any order.
package quarantine
