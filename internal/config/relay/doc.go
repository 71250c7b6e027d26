// Package relay distributes the configuration between VMs, so that few of them
// watch the platform and a VM that is partitioned from it still receives
// changes.
package relay
