// Package entry runs the process of an entry VM that forwards requests.
package entry
