// Package platform simulates the platform's object service: versions,
// conditional updates, watches and injected faults.
package platform
