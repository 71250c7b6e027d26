// Package retry limits retries to a fraction of the requests, so that a failure
// does not multiply the load.
package retry
