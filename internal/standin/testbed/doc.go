// Package testbed runs a small fleet of real processes on loopback for failure
// tests, which kill, freeze, restart and partition them.
package testbed
