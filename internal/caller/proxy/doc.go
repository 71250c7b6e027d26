// Package proxy serves callers whose requests are forwarded unchanged; a
// dialect defines the meaning of their header fields.
package proxy
