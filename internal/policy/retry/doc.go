// Package retry bounds retries to a part of the requests, so that a failure
// does not multiply the load.
package retry
