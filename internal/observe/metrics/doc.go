// Package metrics names and keeps the counters that operators read.
package metrics
