// Package convert converts between domain types and the messages between VMs.
package convert
