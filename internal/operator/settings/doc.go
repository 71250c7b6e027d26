// Package settings reads and validates the TOML settings of a process.
package settings
