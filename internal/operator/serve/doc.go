// Package serve wires and runs the process of an entry VM.
package serve
