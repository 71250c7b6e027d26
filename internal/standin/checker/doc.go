// Package checker judges a recorded history of requests, answers and
// executions by the promises made to callers. It is written naively, so that
// it can be read at once.
package checker
