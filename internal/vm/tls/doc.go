// Package tls loads certificates and makes the TLS configurations towards
// callers and between VMs.
package tls
