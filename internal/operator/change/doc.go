// Package change writes changes of several objects to the platform atomically.
// It handles lost responses and concurrent changes by other operators.
package change
