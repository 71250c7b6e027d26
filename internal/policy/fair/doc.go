// Package fair orders the requests that wait for capacity.
package fair
