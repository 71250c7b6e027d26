// Package platform is a small stand-in of the platform's object service:
// versions, conditional updates, watches, and switches for its failures.
package platform
