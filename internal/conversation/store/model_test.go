package store_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/store"
)

// modelLimit is small, so that logs are compacted and become full.
const modelLimit = 16 << 10

// storedTurn is an acknowledged turn with its ancestors and the time until which it is kept.
type storedTurn struct {
	turn    hawthornrail.Turn
	content []byte
	until   time.Time
}

// storeModel is a store and what it must hold.
type storeModel struct {
	root   string
	clock  *clockwork.FakeClock
	disk   *faultyDisk
	folder string
	store  *store.Store
	turns  map[string]*storedTurn
	next   int
	starts int
}

// Guards against a turn that is lost or changed after any order of appends, failed writes and
// syncs, expiry, compaction, restarts and power losses.
func TestStoreHoldsWhatItAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root, err := os.MkdirTemp("", "conversations")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(root) }()
		m := &storeModel{root: root, clock: clockwork.NewFakeClockAt(startTime), turns: make(map[string]*storedTurn)}
		m.folder = m.newFolder()
		m.open(t)
		defer func() { _ = m.store.Close() }()
		t.Repeat(map[string]func(*rapid.T){
			"append":       m.append,
			"append again": m.append,
			"fail":         m.fail,
			"wait":         m.wait,
			"restart":      m.restart,
			"power loss":   m.losePower,
			"":             m.check,
		})
	})
}

func (m *storeModel) newFolder() string {
	m.starts++
	return filepath.Join(m.root, fmt.Sprint(m.starts))
}

func (m *storeModel) open(t *rapid.T) {
	m.disk = newFaultyDisk()
	s, err := store.Open(store.Options{Folder: m.folder, LimitBytes: modelLimit, Clock: m.clock, Disk: m.disk})
	if err != nil {
		t.Fatal(err)
	}
	m.store = s
}

// kept returns the ids of the turns that must be held.
func (m *storeModel) kept() []string {
	var ids []string
	for n := range m.next {
		if turn, ok := m.turns[fmt.Sprint(n)]; ok && !turn.until.Before(m.clock.Now()) {
			ids = append(ids, fmt.Sprint(n))
		}
	}
	return ids
}

func (m *storeModel) append(t *rapid.T) {
	id, parent := fmt.Sprint(m.next), ""
	m.next++
	var content []byte
	if kept := m.kept(); len(kept) > 0 && rapid.IntRange(0, 3).Draw(t, "continues") > 0 {
		parent = rapid.SampledFrom(kept).Draw(t, "parent")
		content = m.turns[parent].content
	}
	body := bytes.Repeat([]byte(id), rapid.IntRange(0, 600).Draw(t, "length"))
	turn := hawthornrail.NewTurn(ref(id), input(id), body).WithParent(parent).WithRetention(m.clock.Now(), retention)
	err := m.store.Append(turn)
	if errors.Is(err, store.ErrFull) || errors.Is(err, errDisk) {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	content = append(append(bytes.Clone(content), turn.Input()...), turn.Output()...)
	m.turns[id] = &storedTurn{turn: turn, content: content, until: m.clock.Now().Add(retention)}
	for parent != "" {
		ancestor := m.turns[parent]
		ancestor.until = m.clock.Now().Add(retention)
		parent = ancestor.turn.Parent()
	}
}

// fail lets the disk refuse writes, syncs or truncations, or none of them.
func (m *storeModel) fail(t *rapid.T) {
	m.disk.set(func() {
		m.disk.failWrite = rapid.Bool().Draw(t, "write")
		m.disk.failSync = rapid.Bool().Draw(t, "sync")
		m.disk.failTruncate = rapid.Bool().Draw(t, "truncate")
	})
}

func (m *storeModel) wait(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
	if err := m.store.Expire(); err != nil && !errors.Is(err, errDisk) {
		t.Fatal(err)
	}
}

func (m *storeModel) restart(t *rapid.T) {
	if err := m.store.Close(); err != nil {
		t.Fatal(err)
	}
	m.open(t)
}

func (m *storeModel) losePower(t *rapid.T) {
	lost := m.newFolder()
	if err := os.Mkdir(lost, 0o755); err != nil {
		t.Fatal(err)
	}
	part := rapid.Int64Range(0, 4).Draw(t, "quarters of what was not synced")
	m.disk.copySynced(t, m.folder, lost, func(unsynced int64) int64 { return unsynced * part / 4 })
	if err := m.store.Close(); err != nil {
		t.Fatal(err)
	}
	m.folder = lost
	m.open(t)
}

func (m *storeModel) check(t *rapid.T) {
	for _, id := range m.kept() {
		chain, err := chainOf(m.store, ref(id))
		if err != nil || !bytes.Equal(chain.Content(), m.turns[id].content) {
			t.Errorf("chain of %s: %q, %v, want %q", id, chain.Content(), err, m.turns[id].content)
		}
	}
}

// Guards against data races among saves, reads, lists, expiry and compaction.
func TestConcurrentUse(t *testing.T) {
	const (
		writers = 8
		turns   = 60
	)
	clock := clockwork.NewFakeClockAt(startTime)
	s := open(t, t.TempDir(), quickDisk{store.NewDisk()}, clock, 8<<20)
	stop := make(chan struct{})
	var maintenance, running sync.WaitGroup
	maintenance.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if err := s.Expire(); err != nil {
				t.Error(err)
			}
			_, _, _ = s.List(0, 10)
			_ = s.Stats()
		}
	})
	for w := range writers {
		running.Go(func() {
			var ids []string
			parent := ""
			for n := range turns {
				id := fmt.Sprintf("%d-%d", w, n)
				if err := s.Append(newTurn(id, parent)); err != nil {
					t.Error(err)
				}
				ids, parent = append(ids, id), id
				assertChain(t, s, ids...)
			}
		})
	}
	running.Wait()
	close(stop)
	maintenance.Wait()
}
