// Package store keeps turns of conversations in an append-only log on a disk.
package store
