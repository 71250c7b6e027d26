// Package client implements the object protocol of the platform's service.
package client
