// Package worker simulates the users' back ends: it sends complete or streamed
// responses and injects the faults that tests set.
package worker
