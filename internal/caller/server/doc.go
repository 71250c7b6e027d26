// Package server speaks HTTP with callers: chat completions, plain services
// and the programs that their calls belong to.
package server
