// Package node builds what every process of the fleet has: the configuration
// that it follows, its connections to other VMs, the teams' rates, logs and
// metrics.
package node
