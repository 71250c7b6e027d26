package mirror_test

import (
	"fmt"
	"strconv"
	"testing"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/mirror"
	"pgregory.net/rapid"
)

// log is a store's history: the names that each revision set or removed.
type log []struct {
	name    string
	removed bool
}

// at returns all objects at a revision.
func (l log) at(revision int) map[string]string {
	objects := make(map[string]string)
	for i, e := range l[:revision] {
		if e.removed {
			delete(objects, e.name)
			continue
		}
		objects[e.name] = strconv.Itoa(i + 1)
	}
	return objects
}

func (l log) list(revision int) hawthornrail.ObjectChanges {
	return difference(nil, l.at(revision), revision)
}

// watch returns what a watch tells of the revisions after one.
func (l log) watch(since, to int) hawthornrail.ObjectChanges {
	now := l.at(to)
	var set []hawthornrail.Object
	var removed []string
	told := make(map[string]bool)
	for _, e := range l[since:to] {
		if told[e.name] {
			continue
		}
		told[e.name] = true
		if value, ok := now[e.name]; ok {
			set = append(set, hawthornrail.NewObject(e.name, []byte(value)))
		} else {
			removed = append(removed, e.name)
		}
	}
	return hawthornrail.NewObjectChanges(uint64(to), set, removed)
}

// pass tells one mirror what another one holds, as VMs do.
func pass(from, to *mirror.Mirror) {
	held := to.Revision(kind)
	if changes, known := from.Since(kind, held); known {
		to.Change(kind, held, changes)
		return
	}
	if list, ok := from.Later(kind, held); ok {
		to.Replace(kind, list)
	}
}

// VMs that get lists and watches of a store at different times, and pass
// changes on among each other, hold what the store held at their revision.
func TestChangesPassedOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history log
		var mirrors []*mirror.Mirror
		for range 3 {
			mirrors = append(mirrors, mirror.New(func(string, []hawthornrail.Object) {}))
		}
		one := func(label string) *mirror.Mirror { return rapid.SampledFrom(mirrors).Draw(t, label) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				history = append(history, struct {
					name    string
					removed bool
				}{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "removed")})
			case 1:
				one("listing").Replace(kind, history.list(rapid.IntRange(0, len(history)).Draw(t, "stale")))
			case 2:
				m := one("watching")
				if held := int(m.Revision(kind)); held > 0 {
					m.Change(kind, uint64(held), history.watch(held, rapid.IntRange(held, len(history)).Draw(t, "to")))
				}
			default:
				pass(one("from"), one("to"))
			}
			for i, m := range mirrors {
				assertHolds(t, fmt.Sprintf("mirror %d", i), m, history)
			}
		}
	})
}

func assertHolds(t *rapid.T, name string, m *mirror.Mirror, history log) {
	t.Helper()
	held, ok := m.Later(kind, 0)
	if !ok {
		return
	}
	want := history.at(int(held.Revision()))
	if len(held.Set()) != len(want) {
		t.Fatalf("%s holds %d objects at revision %d, want %d", name, len(held.Set()), held.Revision(), len(want))
	}
	for _, o := range held.Set() {
		if want[o.Name()] != string(o.Value()) {
			t.Fatalf("%s: %s is %s at revision %d, want %s", name, o.Name(), o.Value(), held.Revision(), want[o.Name()])
		}
	}
}

// One change among 7,500 endpoints is passed on as one object.
func TestOneChangeOfMany(t *testing.T) {
	const endpoints = 7500
	var list []hawthornrail.Object
	for i := range endpoints {
		list = append(list, hawthornrail.NewObject(strconv.Itoa(i), []byte("ready")))
	}
	m := mirror.New(func(string, []hawthornrail.Object) {})
	m.Replace(kind, hawthornrail.NewObjectChanges(10, list, nil))
	m.Change(kind, 10, hawthornrail.NewObjectChanges(11, []hawthornrail.Object{hawthornrail.NewObject("7", []byte("draining"))}, nil))
	changes, known := m.Since(kind, 10)
	if !known || len(changes.Set()) != 1 || changes.Set()[0].Name() != "7" {
		t.Errorf("%d objects are passed on, known %v, want 1", len(changes.Set()), known)
	}
	if !m.Changed(kind, 10) || m.Changed(kind, 11) {
		t.Error("a change is not told from none")
	}
}
