// Package sink writes log lines asynchronously and drops lines instead of blocking the
// logger.
package sink
