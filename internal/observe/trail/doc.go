// Package trail collects the log lines of one request and writes them together
// or not at all.
package trail
