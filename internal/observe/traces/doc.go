// Package traces makes a span for each hop of a request.
package traces
