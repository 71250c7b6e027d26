// Package load asks engines for their load, a few a second in turn.
package load
