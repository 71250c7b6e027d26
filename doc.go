// Package hawthornrail holds the domain types and the interfaces of the
// scheduler for agent programs; implementations live below internal.
package hawthornrail
