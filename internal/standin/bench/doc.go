// Package bench runs the policy and the plain balancers on the same traces
// and reports how they compare.
package bench
