// Package engine is a small stand-in of a model engine: continuous batching,
// a prefix cache in limited memory, streamed answers and lagging load.
package engine
