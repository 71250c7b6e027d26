// Package keyring issues callers' keys and checks keys against their stored hashes.
package keyring
