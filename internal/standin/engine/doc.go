// Package engine simulates a model engine: continuous batching, a prefix cache
// in limited memory, streamed responses and load reports.
package engine
