// Package reach decides whether a VM reaches the endpoints of a service, and
// through which other VM its requests go if it does not.
package reach
