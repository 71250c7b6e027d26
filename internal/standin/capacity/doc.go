// Package capacity works out what a fleet of a given size costs, from slopes
// that benchmarks measured, and writes the page that says so.
package capacity
