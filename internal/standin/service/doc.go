// Package service is a small stand-in of a plain service that counts each
// execution by request id.
package service
