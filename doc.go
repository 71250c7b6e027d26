// Package hawthornrail defines the domain types and interfaces of the scheduler
// for agent programs; the implementations are in the internal packages.
package hawthornrail
