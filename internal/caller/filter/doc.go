// Package filter contains the filters that a caller's request passes through on
// the VM that receives it.
package filter
