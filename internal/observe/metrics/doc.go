// Package metrics defines and collects the metrics of the process.
package metrics
