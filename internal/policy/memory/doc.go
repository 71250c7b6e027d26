// Package memory decides which requests fit in the memory of a VM, and which of those
// that are still arriving have to make room for others.
package memory
