// Package proxy serves callers whose requests are forwarded unchanged; a
// codec defines the meaning of their header fields.
package proxy
