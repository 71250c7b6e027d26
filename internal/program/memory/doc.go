// Package memory has engines release what they hold for programs that ended,
// again until they confirm it.
package memory
