// Package api serves operators over HTTP: status, metrics, programs and
// draining of this VM.
package api
