// Package service sends requests to endpoints that are not model engines.
package service
