// Package proxy answers callers whose requests are forwarded unchanged; a
// dialect says what their header fields mean.
package proxy
