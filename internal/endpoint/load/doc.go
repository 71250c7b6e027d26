// Package load polls engines for their load, about two per second.
package load
