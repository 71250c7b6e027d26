// Package tls loads certificates and provides the TLS configurations for
// callers and between VMs.
package tls
