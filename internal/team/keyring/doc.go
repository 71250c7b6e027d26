// Package keyring makes callers' keys and checks them against their hashes.
package keyring
