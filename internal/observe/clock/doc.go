// Package clock gives the project's clock over the clock library.
package clock
