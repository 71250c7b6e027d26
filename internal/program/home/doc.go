// Package home runs the calls of the programs whose home is this VM: in
// order, each recorded and replicated before it takes effect.
package home
