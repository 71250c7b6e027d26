// Package service sends requests to plain services.
package service
