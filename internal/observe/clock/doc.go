// Package clock provides the real-time clock, backed by the clockwork library, and a
// context-aware wait.
package clock
