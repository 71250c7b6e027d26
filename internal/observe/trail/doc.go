// Package trail buffers the log lines of one request and writes either all of
// them or none.
package trail
