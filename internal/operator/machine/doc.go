// Package machine reads the settings of a process that forwards requests or
// holds shares of budgets and rates.
package machine
