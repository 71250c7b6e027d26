// Package checker verifies the guarantees to callers against a recorded history
// of requests, responses and executions. Its checks favour simplicity over speed
// so that they are easy to verify by reading.
package checker
