// Package monitor sends requests to VMs and tracks which of them do not respond.
package monitor
