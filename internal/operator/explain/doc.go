// Package explain collects the log lines of several VMs that belong to a request
// or a program.
package explain
