// Package service simulates a service endpoint that counts the executions of
// each request id.
package service
