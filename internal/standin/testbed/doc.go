// Package testbed starts a small fleet of real processes on loopback for
// failure tests: it kills, freezes, restarts and cuts them off.
package testbed
