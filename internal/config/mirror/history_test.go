package mirror_test

import (
	"fmt"
	"strconv"
	"testing"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/mirror"
	"pgregory.net/rapid"
)

// storeHistory is a store's history: the name that each revision set or removed.
type storeHistory []struct {
	name    string
	removed bool
}

// objectsAt returns all objects at a revision.
func (h storeHistory) objectsAt(revision int) map[string]string {
	objects := make(map[string]string)
	for i, e := range h[:revision] {
		if e.removed {
			delete(objects, e.name)
			continue
		}
		objects[e.name] = strconv.Itoa(i + 1)
	}
	return objects
}

func (h storeHistory) listAt(revision int) hawthornrail.ObjectChanges {
	return difference(nil, h.objectsAt(revision), revision)
}

// watchReply returns the reply to a watch after the revision since.
func (h storeHistory) watchReply(since, to int) hawthornrail.ObjectChanges {
	current := h.objectsAt(to)
	var set []hawthornrail.Object
	var removed []string
	seen := make(map[string]bool)
	for _, e := range h[since:to] {
		if seen[e.name] {
			continue
		}
		seen[e.name] = true
		if value, ok := current[e.name]; ok {
			set = append(set, hawthornrail.NewObject(e.name, []byte(value)))
		} else {
			removed = append(removed, e.name)
		}
	}
	return hawthornrail.NewObjectChanges(uint64(to), set, removed)
}

// relay sends the changes of one mirror to another one, as VMs do, after a revision
// that the other one held when it sent its request.
func relay(from, to *mirror.Mirror, held uint64) {
	if changes, complete := from.ChangesSince(kind, held); complete {
		to.ApplyChanges(kind, held, changes)
		return
	}
	if list, ok := from.ListIfNewer(kind, held); ok {
		to.Replace(kind, list)
	}
}

// Guards against mirrors that differ from the store at their revision after
// they receive lists and watches at different times and relay changes to each
// other.
func TestRelayedChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history storeHistory
		var mirrors []*mirror.Mirror
		for range 3 {
			mirrors = append(mirrors, mirror.New(func(string, string, uint64, []hawthornrail.Object) {}))
		}
		drawMirror := func(label string) *mirror.Mirror { return rapid.SampledFrom(mirrors).Draw(t, label) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				history = append(history, struct {
					name    string
					removed bool
				}{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "removed")})
			case 1:
				drawMirror("listing").Replace(kind, history.listAt(rapid.IntRange(0, len(history)).Draw(t, "stale")))
			case 2:
				m := drawMirror("watching")
				if held := int(m.Revision(kind)); held > 0 {
					// The watch may have begun before the mirror received changes
					// from elsewhere.
					since := rapid.IntRange(0, held).Draw(t, "since")
					m.ApplyChanges(kind, uint64(since), history.watchReply(since, rapid.IntRange(since, len(history)).Draw(t, "to")))
				}
			default:
				from, to := drawMirror("from"), drawMirror("to")
				relay(from, to, uint64(rapid.IntRange(0, int(to.Revision(kind))).Draw(t, "held")))
			}
			for i, m := range mirrors {
				assertMatchesStore(t, fmt.Sprintf("mirror %d", i), m, history)
			}
		}
	})
}

func assertMatchesStore(t *rapid.T, name string, m *mirror.Mirror, history storeHistory) {
	t.Helper()
	held, ok := m.ListIfNewer(kind, 0)
	if !ok {
		return
	}
	want := history.objectsAt(int(held.Revision()))
	if len(held.Set()) != len(want) {
		t.Fatalf("%s holds %d objects at revision %d, want %d", name, len(held.Set()), held.Revision(), len(want))
	}
	for _, o := range held.Set() {
		if want[o.Name()] != string(o.Value()) {
			t.Fatalf("%s: %s is %s at revision %d, want %s", name, o.Name(), o.Value(), held.Revision(), want[o.Name()])
		}
	}
}

// Guards against a full list of 7,500 endpoints being relayed for one change.
func TestOneChangeIsRelayedAlone(t *testing.T) {
	const endpoints = 7500
	var list []hawthornrail.Object
	for i := range endpoints {
		list = append(list, hawthornrail.NewObject(strconv.Itoa(i), []byte("ready")))
	}
	m := mirror.New(func(string, string, uint64, []hawthornrail.Object) {})
	m.Replace(kind, hawthornrail.NewObjectChanges(10, list, nil))
	m.ApplyChanges(kind, 10, hawthornrail.NewObjectChanges(11, []hawthornrail.Object{hawthornrail.NewObject("7", []byte("draining"))}, nil))
	changes, complete := m.ChangesSince(kind, 10)
	if !complete || len(changes.Set()) != 1 || changes.Set()[0].Name() != "7" {
		t.Errorf("%d objects are relayed, complete %v, want 1", len(changes.Set()), complete)
	}
	if !m.ChangedSince(kind, 10) || m.ChangedSince(kind, 11) {
		t.Error("ChangedSince does not distinguish a change from none")
	}
}
