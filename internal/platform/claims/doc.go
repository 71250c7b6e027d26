// Package claims records in the platform's service which program runs a request
// that callers may retry with an idempotency key.
package claims
