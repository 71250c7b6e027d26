// Package ranking orders VMs by a key, so that all VMs choose the same ones.
package ranking
