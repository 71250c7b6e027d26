// Package objects simulates the object store of the users' platform: objects by
// kind with revisions, conditional writes and watches.
package objects
