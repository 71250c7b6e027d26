// Package suspects shares with other VMs the digests of which requests endpoints had
// when they crashed, and lets one VM decide when a quarantined digest is tried
// again.
package suspects
