// Package controller keeps the configuration in force up to date with the
// platform's service.
package controller
