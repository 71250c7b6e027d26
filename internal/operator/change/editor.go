package change

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/platform/client"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
)

const (
	idBytes            = 8
	maxEarlierIDs      = 64
	maxHistoryEntries  = 8
	maxWriteAttempts   = 20
	retryDelay         = 500 * time.Millisecond
	maxHistoryAttempts = 3
	finishTimeout      = 10 * time.Second
	maxChangeBytes     = 1 << 20
)

// ErrOutcomeUnknown means that the platform did not confirm whether a change took
// effect.
var ErrOutcomeUnknown = errors.New("not known whether the change took effect; run the command again")

// ConflictError reports that another operator's change took effect first.
type ConflictError struct {
	ours   objects.Change
	theirs objects.Change
}

// Error describes both changes.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("another operator's change came first; nothing of ours took effect\n  ours:   %s\n  theirs: %s",
		describe(e.ours), describe(e.theirs))
}

func describe(c objects.Change) string {
	var parts []string
	for _, p := range c.Objects {
		verb := "set"
		if p.Deleted {
			verb = "delete"
		}
		parts = append(parts, fmt.Sprintf("%s %s/%s %s", verb, p.Kind, p.Name, p.Value))
	}
	if len(parts) == 0 {
		parts = []string{strings.Join(c.Names, ", ")}
	}
	return fmt.Sprintf("change %s (%s): %s", c.ID, c.Reason, strings.Join(parts, "; "))
}

// Editor writes changes to the platform.
type Editor struct {
	platform *client.Client
	clock    hawthornrail.Clock
}

// New returns an editor of the objects on the platform.
func New(platform *client.Client, clock hawthornrail.Clock) *Editor {
	return &Editor{platform: platform, clock: clock}
}

// NewObject returns an object of a change, based on the object's version in the
// loaded configuration.
func NewObject(l Live, kind, name string, value any) (objects.ChangeObject, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return objects.ChangeObject{}, fmt.Errorf("encode %s/%s: %w", kind, name, err)
	}
	return objects.ChangeObject{Kind: kind, Name: name, Base: l.Object(kind, name).Version, Value: data}, nil
}

// Commit puts the objects in force atomically and returns their version. It
// returns no error once the change is known to be in force, even if the response
// to the write was lost.
func (e *Editor) Commit(ctx context.Context, l Live, reason string, changeObjects []objects.ChangeObject) (uint64, error) {
	c, err := e.newChange(l, reason, changeObjects)
	if err != nil {
		return 0, err
	}
	head, err := e.write(ctx, l.head.Version, c)
	if err != nil {
		return 0, err
	}
	// The change is already in force. If copying it fails here, the next Load
	// completes it.
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	_ = e.finish(ctx, head, c)
	return head.Version, nil
}

func (e *Editor) newChange(l Live, reason string, changeObjects []objects.ChangeObject) (objects.Change, error) {
	id := make([]byte, idBytes)
	if _, err := rand.Read(id); err != nil {
		return objects.Change{}, fmt.Errorf("change: %w", err)
	}
	c := objects.Change{ID: hex.EncodeToString(id), Reason: reason, UnixMS: e.clock.Now().UnixMilli(), Objects: changeObjects}
	for _, p := range changeObjects {
		c.Names = append(c.Names, p.Kind+"/"+p.Name)
	}
	if l.latest.ID != "" {
		c.Previous = append(slices.Clone(l.latest.Previous), l.latest.ID)
		c.Previous = c.Previous[max(0, len(c.Previous)-maxEarlierIDs):]
	}
	data, err := json.Marshal(c)
	if err == nil && len(data) > maxChangeBytes {
		err = fmt.Errorf("the change has %d bytes, at most %d are possible; apply fewer files at once", len(data), maxChangeBytes)
	}
	return c, err
}

// write stores the change as the latest one. After a lost response it reads the
// stored change, and writes again only while the base version is still current.
func (e *Editor) write(ctx context.Context, base uint64, c objects.Change) (objects.Object, error) {
	for range maxWriteAttempts {
		o, err := e.platform.Write(ctx, objects.KindChange, objects.ChangeName, base, c)
		if err == nil {
			return o, nil
		}
		if !errors.Is(err, client.ErrUnavailable) && !errors.Is(err, client.ErrConflict) {
			return o, err
		}
		o, found, readErr := e.latest(ctx)
		switch {
		case readErr != nil || o.Version == base:
			e.clock.Sleep(retryDelay)
		case found.ID == c.ID:
			return o, nil
		case slices.Contains(found.Previous, c.ID):
			return o, nil
		default:
			return o, &ConflictError{ours: c, theirs: found}
		}
	}
	return objects.Object{}, fmt.Errorf("%w: %w", client.ErrUnavailable, ErrOutcomeUnknown)
}

func (e *Editor) latest(ctx context.Context) (objects.Object, objects.Change, error) {
	o, err := e.platform.Read(ctx, objects.KindChange, objects.ChangeName)
	if errors.Is(err, client.ErrNotFound) {
		return objects.Object{}, objects.Change{}, nil
	}
	var c objects.Change
	if err == nil {
		err = o.Decode(&c)
	}
	return o, c, err
}

// finish copies the contents of a change to its objects, adds deployments to
// their history and empties the change. Several operators may run it
// concurrently.
func (e *Editor) finish(ctx context.Context, head objects.Object, c objects.Change) error {
	for _, p := range c.Objects {
		if err := e.copyObject(ctx, head.Version, p); err != nil {
			return err
		}
		if p.Kind == objects.KindDeployment && !p.Deleted {
			if err := e.addToHistory(ctx, head.Version, c, p); err != nil {
				return err
			}
		}
	}
	c.Objects = nil
	err := e.put(ctx, objects.KindChange, objects.ChangeName, head.Version, c)
	if errors.Is(err, client.ErrConflict) {
		return nil
	}
	return err
}

// copyObject writes an object of a change unless the stored one is newer.
func (e *Editor) copyObject(ctx context.Context, version uint64, p objects.ChangeObject) error {
	base := p.Base
	for {
		err := e.writeObject(ctx, base, p)
		if !errors.Is(err, client.ErrConflict) {
			return err
		}
		o, err := e.platform.Read(ctx, p.Kind, p.Name)
		if errors.Is(err, client.ErrNotFound) {
			// The object was deleted by a later change, which can only happen after
			// this one was emptied.
			return nil
		}
		if err != nil || o.Version > version {
			return err
		}
		base = o.Version
	}
}

func (e *Editor) writeObject(ctx context.Context, base uint64, p objects.ChangeObject) error {
	if !p.Deleted {
		return e.put(ctx, p.Kind, p.Name, base, p.Value)
	}
	_, err := e.platform.Delete(ctx, p.Kind, p.Name, base)
	if errors.Is(err, client.ErrNotFound) {
		return nil
	}
	return err
}

func (e *Editor) put(ctx context.Context, kind, name string, base uint64, value any) error {
	_, err := e.Put(ctx, kind, name, base, value)
	return err
}

// Put replaces one object at version base. After a lost response it reads the
// object, and writes again only while that version is still current.
func (e *Editor) Put(ctx context.Context, kind, name string, base uint64, value any) (objects.Object, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return objects.Object{}, fmt.Errorf("encode %s/%s: %w", kind, name, err)
	}
	for attempt := 0; attempt < maxWriteAttempts && ctx.Err() == nil; attempt++ {
		o, err := e.platform.Write(ctx, kind, name, base, value)
		if !errors.Is(err, client.ErrUnavailable) && !errors.Is(err, client.ErrConflict) {
			return o, err
		}
		o, readErr := e.platform.Read(ctx, kind, name)
		if readErr == nil && o.Version > base && bytes.Equal(o.Value, data) {
			return o, nil
		}
		if errors.Is(err, client.ErrConflict) || readErr == nil && o.Version > base {
			return o, fmt.Errorf("%s/%s is at version %d: %s: %w", kind, name, o.Version, o.Value, client.ErrConflict)
		}
		e.clock.Sleep(retryDelay)
	}
	return objects.Object{}, fmt.Errorf("%w: %w", client.ErrUnavailable, ErrOutcomeUnknown)
}

// addToHistory adds a deployment to its history, once per change.
func (e *Editor) addToHistory(ctx context.Context, version uint64, c objects.Change, p objects.ChangeObject) error {
	var err error
	for range maxHistoryAttempts {
		var o objects.Object
		o, err = e.platform.Read(ctx, objects.KindHistory, p.Name)
		var h objects.History
		if err == nil {
			err = o.Decode(&h)
		}
		if err != nil && !errors.Is(err, client.ErrNotFound) {
			return err
		}
		if slices.ContainsFunc(h.Entries, func(x objects.HistoryEntry) bool { return x.Change == c.ID }) {
			return nil
		}
		entry := objects.HistoryEntry{Number: 1, Change: c.ID, Version: version, AcceptedUnix: c.UnixMS, Reason: c.Reason}
		if err := (objects.Object{Kind: p.Kind, Name: p.Name, Value: p.Value}).Decode(&entry.Value); err != nil {
			return err
		}
		if n := len(h.Entries); n > 0 {
			entry.Number = h.Entries[n-1].Number + 1
		}
		h.Entries = append(h.Entries, entry)
		h.Entries = h.Entries[max(0, len(h.Entries)-maxHistoryEntries):]
		if err = e.put(ctx, objects.KindHistory, p.Name, o.Version, h); !errors.Is(err, client.ErrConflict) {
			return err
		}
	}
	return err
}
