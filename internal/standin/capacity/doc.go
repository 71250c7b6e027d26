// Package capacity estimates the cost of a fleet of a given size by
// interpolating benchmark results and renders the capacity page.
package capacity
