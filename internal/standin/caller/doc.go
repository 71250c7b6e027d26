// Package caller runs agent programs as a caller would and checks every
// answer it gets.
package caller
