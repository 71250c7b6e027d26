// Package mirror keeps an in-memory copy of the platform's objects by kind. It
// watches the store for changes and takes later revisions from other VMs.
package mirror
