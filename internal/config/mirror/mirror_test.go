package mirror_test

import (
	"strconv"
	"testing"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/mirror"
	"pgregory.net/rapid"
)

const kind = "kind"

func listAt(revision uint64, names ...string) hawthornrail.ObjectChanges {
	var list []hawthornrail.Object
	for _, n := range names {
		list = append(list, hawthornrail.NewObject(n, []byte(strconv.FormatUint(revision, 10))))
	}
	return hawthornrail.NewObjectChanges(revision, list, nil)
}

func assertRevision(t *testing.T, m *mirror.Mirror, want uint64) {
	t.Helper()
	if got := m.Revision(kind); got != want {
		t.Errorf("revision %d, want %d", got, want)
	}
}

func TestMirror(t *testing.T) {
	newMirror := func() (*mirror.Mirror, *int) {
		calls := 0
		m := mirror.New(func(string, string, uint64, []hawthornrail.Object) { calls++ })
		m.Replace(kind, listAt(5, "a", "b"))
		return m, &calls
	}
	t.Run("older list changes nothing", func(t *testing.T) {
		m, calls := newMirror()
		m.Replace(kind, listAt(4, "c"))
		assertRevision(t, m, 5)
		if *calls != 1 {
			t.Errorf("%d calls of onChange, want 1", *calls)
		}
	})
	t.Run("changes after a gap are not applied", func(t *testing.T) {
		m, _ := newMirror()
		if m.ApplyChanges(kind, 6, listAt(7, "c")) {
			t.Error("changes after a gap were applied")
		}
		assertRevision(t, m, 5)
	})
	t.Run("list without a difference does not call onChange", func(t *testing.T) {
		m, calls := newMirror()
		list, _ := m.ListIfNewer(kind, 0)
		m.Replace(kind, hawthornrail.NewObjectChanges(9, list.Set(), nil))
		assertRevision(t, m, 9)
		if *calls != 1 {
			t.Errorf("%d calls of onChange, want 1", *calls)
		}
	})
	t.Run("no list for an up-to-date revision", func(t *testing.T) {
		m, _ := newMirror()
		if _, ok := m.ListIfNewer(kind, 5); ok {
			t.Error("a list is returned although it is not newer")
		}
	})
}

// Guards against a mirror that loses a change or goes back to an older
// revision, in any order of lists and changes from the store and other VMs.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []map[string]string{{}}
		m := mirror.New(func(string, string, uint64, []hawthornrail.Object) {})
		listFrom := func(revision int) hawthornrail.ObjectChanges {
			var list []hawthornrail.Object
			for name, value := range history[revision] {
				list = append(list, hawthornrail.NewObject(name, []byte(value)))
			}
			return hawthornrail.NewObjectChanges(uint64(revision), list, nil)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := m.Revision(kind)
			latest := len(history) - 1
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				next := make(map[string]string)
				for name, value := range history[latest] {
					next[name] = value
				}
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				delete(next, name)
				if rapid.Bool().Draw(t, "set") {
					next[name] = strconv.Itoa(latest + 1)
				}
				history = append(history, next)
			case 1:
				m.Replace(kind, listFrom(rapid.IntRange(0, latest).Draw(t, "stale")))
			default:
				since := rapid.IntRange(0, latest).Draw(t, "since")
				to := rapid.IntRange(since, latest).Draw(t, "to")
				m.ApplyChanges(kind, uint64(since), changesBetween(history, since, to))
			}
			if m.Revision(kind) < before {
				t.Fatalf("revision decreased from %d to %d", before, m.Revision(kind))
			}
			assertContent(t, m, history)
		}
	})
}

// changesBetween returns the changes after one revision up to another one. Like
// those of the store, they contain the removal of an object that existed only in
// between.
func changesBetween(history []map[string]string, since, to int) hawthornrail.ObjectChanges {
	existed := make(map[string]string)
	for _, objects := range history[since : to+1] {
		for name := range objects {
			existed[name] = history[since][name]
		}
	}
	return difference(existed, history[to], to)
}

func difference(before, after map[string]string, revision int) hawthornrail.ObjectChanges {
	var set []hawthornrail.Object
	var removed []string
	for name, value := range after {
		if before[name] != value {
			set = append(set, hawthornrail.NewObject(name, []byte(value)))
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			removed = append(removed, name)
		}
	}
	return hawthornrail.NewObjectChanges(uint64(revision), set, removed)
}

func assertContent(t *rapid.T, m *mirror.Mirror, history []map[string]string) {
	t.Helper()
	revision := m.Revision(kind)
	if revision == 0 {
		return
	}
	held, _ := m.ListIfNewer(kind, 0)
	want := history[revision]
	if len(held.Set()) != len(want) {
		t.Fatalf("%d objects at revision %d, want %d", len(held.Set()), revision, len(want))
	}
	for _, o := range held.Set() {
		if want[o.Name()] != string(o.Value()) {
			t.Fatalf("%s is %s at revision %d, want %s", o.Name(), o.Value(), revision, want[o.Name()])
		}
	}
}

// Guards against a full list from the store after each watch, because another VM
// has relayed changes to this one meanwhile.
func TestChangesMayOverlap(t *testing.T) {
	newMirror := func() *mirror.Mirror {
		m := mirror.New(func(string, string, uint64, []hawthornrail.Object) {})
		m.Replace(kind, listAt(5, "a"))
		m.ApplyChanges(kind, 5, listAt(8, "b"))
		return m
	}
	t.Run("changes up to a later revision are applied", func(t *testing.T) {
		m := newMirror()
		if !m.ApplyChanges(kind, 5, listAt(9, "b", "c")) {
			t.Error("overlapping changes were not applied")
		}
		assertRevision(t, m, 9)
	})
	t.Run("changes up to an earlier revision change nothing", func(t *testing.T) {
		m := newMirror()
		if !m.ApplyChanges(kind, 5, listAt(7, "b")) {
			t.Error("changes that are known count as missed")
		}
		assertRevision(t, m, 8)
	})
}
