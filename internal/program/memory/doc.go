// Package memory releases the engine memory of ended programs. It retries each
// release until the engine confirms it.
package memory
