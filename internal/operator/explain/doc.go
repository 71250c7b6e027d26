// Package explain finds what the logs of several VMs say of a request or of a
// program.
package explain
