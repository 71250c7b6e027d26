// Package rate enforces the teams' rates. The VMs that hold a share of a
// team's rate lend tokens to each other and to VMs without a share.
package rate
