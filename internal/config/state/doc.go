// Package state decides which objects are in force: versions only rise,
// whatever order or copy they arrive in. It does no I/O.
package state
