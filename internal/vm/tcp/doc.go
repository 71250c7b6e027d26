// Package tcp accepts connections, also while the process has no descriptors left.
package tcp
