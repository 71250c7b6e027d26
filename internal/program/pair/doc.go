// Package pair decides which of two instances may act on a holding: step,
// replace its backup, or take it over. It does no I/O and starts no goroutine.
package pair
