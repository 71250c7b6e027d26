// Package mirror holds the platform's objects by kind, follows them in the
// store and takes what other VMs have heard of later.
package mirror
