// Package pair implements the state machines that decide which of two instances
// may replicate steps of a holding, replace its backup or take it over. It does
// no I/O and starts no goroutine.
package pair
