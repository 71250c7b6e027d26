// Package api implements the HTTP API for operators: status, metrics, programs
// and draining of this VM.
package api
