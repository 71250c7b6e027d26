// Package handoff keeps turns in the platform's store while too few disks can store them, and
// tells whether the store can be relied on for that.
package handoff
