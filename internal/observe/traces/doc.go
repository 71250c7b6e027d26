// Package traces creates and exports a trace span for each hop of a request.
package traces
