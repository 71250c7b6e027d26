// Package overload decides which requests a VM refuses at once while endpoints have
// more work than they complete in time. It is pure: the clock and the source of
// randomness are passed in.
package overload
