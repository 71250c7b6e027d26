// Package node builds the parts that every process of the fleet has in common:
// the mirrored configuration, the connections to other VMs, the teams' rates,
// logs and metrics.
package node
