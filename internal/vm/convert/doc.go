// Package convert turns domain types into the messages between VMs and back.
package convert
