// Package server is the HTTP server for callers: it serves chat completions,
// calls of services, and the creation and end of programs.
package server
