// Package bench runs the scheduling policy and the baseline balancers on the
// same traces and compares the results.
package bench
