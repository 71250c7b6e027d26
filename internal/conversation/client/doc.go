// Package client loads and saves the turns of conversations at the VMs with a disk.
package client
