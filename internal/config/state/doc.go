// Package state determines which objects are in force. Versions only increase,
// in whatever order or copy objects arrive. The package does no I/O.
package state
