package hawthornrail

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryCompacted means that the store has discarded the changes since a
// revision.
var ErrHistoryCompacted = errors.New("history since the revision is gone")

// ErrChangesUnreadable means that the store's changes since a revision came in a form
// that can't be read, or are too many.
var ErrChangesUnreadable = errors.New("changes since the revision are unreadable")

// Object is an object of the platform's store in its encoded form.
type Object struct {
	name  string
	value []byte
}

// NewObject returns an object with its encoded value.
func NewObject(name string, value []byte) Object { return Object{name: name, value: value} }

// Name returns the object's name within its kind.
func (o Object) Name() string { return o.name }

// Value returns the object as the platform encoded it.
func (o Object) Value() []byte { return o.value }

// ObjectChanges are the changes of a kind up to a revision.
type ObjectChanges struct {
	revision uint64
	set      []Object
	removed  []string
	source   string
}

// NewObjectChanges returns the changes up to a revision: the objects that were
// set and the names of those that were removed.
func NewObjectChanges(revision uint64, set []Object, removed []string) ObjectChanges {
	return ObjectChanges{revision: revision, set: set, removed: removed}
}

// WithSource returns a copy that names where the changes were read from.
func (c ObjectChanges) WithSource(source string) ObjectChanges {
	c.source = source
	return c
}

// Source returns where the changes were read from: the store or the address of a
// VM.
func (c ObjectChanges) Source() string { return c.source }

// Revision returns the revision after the changes.
func (c ObjectChanges) Revision() uint64 { return c.revision }

// Set returns the objects that are new or changed.
func (c ObjectChanges) Set() []Object { return c.set }

// Removed returns the names of the removed objects.
func (c ObjectChanges) Removed() []string { return c.removed }

// ObjectSource is a store of objects whose changes can be watched.
type ObjectSource interface {
	// List returns all objects of a kind and the revision of the list.
	List(ctx context.Context, kind string) (ObjectChanges, error)
	// ListCached is like List but cheaper; its revision may be some seconds old.
	ListCached(ctx context.Context, kind string) (ObjectChanges, error)
	// Watch waits up to timeout for changes of a kind after a revision; it returns
	// ErrHistoryCompacted if the store has discarded them, and
	// ErrChangesUnreadable if it sends them in a form that can't be read.
	Watch(ctx context.Context, kind string, revision uint64, timeout time.Duration) (ObjectChanges, error)
}
