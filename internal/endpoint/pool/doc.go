// Package pool tracks the endpoints of the configuration and the requests
// that this VM has in flight at each.
package pool
