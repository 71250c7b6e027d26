// Package settings reads the TOML settings of a process and says what is
// wrong with them.
package settings
