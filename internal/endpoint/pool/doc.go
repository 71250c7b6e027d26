// Package pool tracks the endpoints of the configuration and the requests
// that this VM has under way at each.
package pool
