// Package claims keeps in the platform's service which program runs a
// request that callers may repeat under an idempotency key.
package claims
