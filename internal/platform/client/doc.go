// Package client speaks the object protocol of the platform's service.
package client
