package hawthornrail

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone means that changes since a revision can't be told any more.
var ErrHistoryGone = errors.New("history since the revision is gone")

// Object is a stored object as the platform gave it.
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
}

// NewObjectChanges returns the objects set and the names of those removed.
func NewObjectChanges(revision uint64, set []Object, removed []string) ObjectChanges {
	return ObjectChanges{revision: revision, set: set, removed: removed}
}

// Revision returns the revision that the changes lead to.
func (c ObjectChanges) Revision() uint64 { return c.revision }

// Set returns the objects that are new or changed.
func (c ObjectChanges) Set() []Object { return c.set }

// Removed returns the names of the objects that are gone.
func (c ObjectChanges) Removed() []string { return c.removed }

// ObjectSource is a store of objects that can be followed.
type ObjectSource interface {
	// List returns all objects of a kind and the revision they are of.
	List(ctx context.Context, kind string) (ObjectChanges, error)
	// ListCached is List at a lower cost; its revision may be some seconds old.
	ListCached(ctx context.Context, kind string) (ObjectChanges, error)
	// Watch waits up to wait for changes of a kind after a revision; it returns
	// ErrHistoryGone if they can't be told.
	Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (ObjectChanges, error)
}
