// Package version tracks which versions of a service's software its endpoints have
// had.
package version
