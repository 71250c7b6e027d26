package store_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/store"
)

const (
	limitBytes = 64 << 20
	retention  = 60 * time.Second
	// expiryMargin is how much longer than its retention a turn is kept.
	expiryMargin = 30 * time.Second
)

var startTime = time.Unix(1_000_000, 0)

func open(t testing.TB, folder string, disk store.Disk, clock hawthornrail.Clock, limit int64) *store.Store {
	t.Helper()
	s, err := store.Open(store.Options{Folder: folder, LimitBytes: limit, Clock: clock, Disk: disk})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func newStore(t testing.TB) *store.Store {
	return open(t, t.TempDir(), quickDisk{store.NewDisk()}, clockwork.NewFakeClockAt(startTime), limitBytes)
}

func ref(id string) hawthornrail.TurnRef { return hawthornrail.NewTurnRef("team", id) }

func input(id string) []byte  { return []byte("input of " + id + ";") }
func output(id string) []byte { return []byte("event of " + id + "\n\n") }

func newTurn(id, parent string) hawthornrail.Turn {
	return hawthornrail.NewTurn(ref(id), input(id), output(id)).WithParent(parent).
		WithPlacementKey("program").WithRetention(startTime, retention)
}

func content(ids ...string) []byte {
	var b []byte
	for _, id := range ids {
		b = append(append(b, input(id)...), output(id)...)
	}
	return b
}

func mustAppend(t testing.TB, s *store.Store, turns ...hawthornrail.Turn) {
	t.Helper()
	if err := s.Append(turns...); err != nil {
		t.Fatal(err)
	}
}

// chainOf reads the whole chain of a turn.
func chainOf(s *store.Store, r hawthornrail.TurnRef) (hawthornrail.Chain, error) {
	located, err := s.Locate(r)
	if err != nil {
		return hawthornrail.Chain{}, err
	}
	content, err := located.Read(0, located.Size())
	return hawthornrail.NewChain(content, located.PlacementKey(), located.Turns()), err
}

func assertChain(t testing.TB, s *store.Store, ids ...string) {
	t.Helper()
	chain, err := chainOf(s, ref(ids[len(ids)-1]))
	if err != nil {
		t.Errorf("chain of %s: %v", ids[len(ids)-1], err)
		return
	}
	if !bytes.Equal(chain.Content(), content(ids...)) || chain.Turns() != len(ids) || chain.PlacementKey() != "program" {
		t.Errorf("chain of %d turns with key %q: %q", chain.Turns(), chain.PlacementKey(), chain.Content())
	}
}

func assertError(t testing.TB, s *store.Store, r hawthornrail.TurnRef, want error) {
	t.Helper()
	if _, err := chainOf(s, r); !errors.Is(err, want) {
		t.Errorf("chain of %s of %s: %v, want %v", r.ID(), r.Team(), err, want)
	}
}

// Guards against a chain with a turn that is missing, changed or out of order.
func TestChainHasAllTurnsInOrder(t *testing.T) {
	folder := t.TempDir()
	clock := clockwork.NewFakeClockAt(startTime)
	s := open(t, folder, store.NewDisk(), clock, limitBytes)
	var ids []string
	parent := ""
	for n := range 130 {
		id := fmt.Sprintf("turn-%d", n)
		mustAppend(t, s, newTurn(id, parent))
		ids, parent = append(ids, id), id
	}
	mustAppend(t, s, newTurn("fork", "turn-4"))
	check := func(t *testing.T, s *store.Store) {
		assertChain(t, s, ids...)
		assertChain(t, s, append(slices.Clone(ids[:5]), "fork")...)
	}
	t.Run("while open", func(t *testing.T) { check(t, s) })
	t.Run("after a restart", func(t *testing.T) {
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		again := open(t, folder, store.NewDisk(), clock, limitBytes)
		check(t, again)
		if again.Epoch() != s.Epoch() {
			t.Error("the restart changed the epoch")
		}
	})
}

// Guards against a team that reads the turn of another one, and against a store that says
// that a turn does not exist although it is incomplete.
func TestChainThatCanNotBeReturned(t *testing.T) {
	s := newStore(t)
	mustAppend(t, s, newTurn("a", ""), newTurn("c", "b"))
	assertError(t, s, hawthornrail.NewTurnRef("other", "a"), store.ErrForeign)
	assertError(t, s, ref("z"), store.ErrUnknown)
	assertError(t, s, ref("c"), store.ErrIncomplete)
	assertError(t, s, ref("b"), store.ErrIncomplete)
	if awaited := s.Awaited(10); !slices.Equal(awaited, []hawthornrail.TurnRef{ref("b")}) {
		t.Errorf("awaited %v", awaited)
	}
	mustAppend(t, s, newTurn("b", "a"))
	assertChain(t, s, "a", "b", "c")
	if awaited := s.Awaited(10); len(awaited) > 0 {
		t.Errorf("awaited %v after the ancestor was stored", awaited)
	}
	t.Run("same id in two teams", func(t *testing.T) {
		other := hawthornrail.NewTurn(hawthornrail.NewTurnRef("other", "a"), []byte("x"), []byte("y\n")).WithRetention(startTime, retention)
		mustAppend(t, s, other)
		assertChain(t, s, "a")
		chain, err := chainOf(s, other.Ref())
		if err != nil || string(chain.Content()) != "xy\n" {
			t.Errorf("chain %q, %v", chain.Content(), err)
		}
	})
}

// Guards against a turn that changes: a second one with its id replaces it only if it was
// completed later.
func TestTurnIsStoredOnce(t *testing.T) {
	s := newStore(t)
	mustAppend(t, s, newTurn("a", ""))
	size := s.Stats().Bytes()
	mustAppend(t, s, newTurn("a", ""))
	if got := s.Stats().Bytes(); got != size {
		t.Errorf("the same turn was written again: %d bytes, before %d", got, size)
	}
	changed := hawthornrail.NewTurn(ref("a"), []byte("other"), nil).WithPlacementKey("program")
	if err := s.Append(changed.WithRetention(startTime, retention)); !errors.Is(err, store.ErrSuperseded) {
		t.Errorf("a turn with other content: %v", err)
	}
	assertChain(t, s, "a")
	mustAppend(t, s, changed.WithRetention(startTime.Add(time.Second), retention))
	if chain, err := chainOf(s, ref("a")); err != nil || string(chain.Content()) != "other" {
		t.Errorf("chain %q, %v", chain.Content(), err)
	}
}

// Guards against turns that expire too early or stay: an ancestor is kept as long as its
// descendants, in whatever order they are stored, also after a restart and when the time of
// day jumps by less than the margin.
func TestExpiry(t *testing.T) {
	for _, order := range [][]string{{"a", "b"}, {"b", "a"}} {
		t.Run(order[0]+" first", func(t *testing.T) {
			folder := t.TempDir()
			clock := clockwork.NewFakeClockAt(startTime)
			s := open(t, folder, quickDisk{store.NewDisk()}, clock, limitBytes)
			turns := map[string]hawthornrail.Turn{
				"a": newTurn("a", ""),
				"b": newTurn("b", "a").WithRetention(startTime.Add(50*time.Second), retention),
			}
			mustAppend(t, s, newTurn("alone", ""))
			for _, id := range order {
				mustAppend(t, s, turns[id])
			}
			expire := func() {
				if err := s.Expire(); err != nil {
					t.Fatal(err)
				}
			}
			clock.Advance(retention + expiryMargin - time.Second)
			expire()
			assertChain(t, s, "alone")
			clock.Advance(2 * time.Second)
			expire()
			assertError(t, s, ref("alone"), store.ErrUnknown)
			assertChain(t, s, "a", "b")
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			s = open(t, folder, quickDisk{store.NewDisk()}, clock, limitBytes)
			assertError(t, s, ref("alone"), store.ErrUnknown)
			assertChain(t, s, "a", "b")
			clock.Advance(50 * time.Second)
			expire()
			assertError(t, s, ref("b"), store.ErrUnknown)
			assertError(t, s, ref("a"), store.ErrUnknown)
			if n := s.Stats().Turns(); n != 0 {
				t.Errorf("%d turns are kept", n)
			}
		})
	}
}

// Guards against a disk that fills up with expired turns.
func TestSegmentsWithoutTurnsAreRemoved(t *testing.T) {
	folder := t.TempDir()
	clock := clockwork.NewFakeClockAt(startTime)
	s := open(t, folder, quickDisk{store.NewDisk()}, clock, limitBytes)
	for n := range 10 {
		id := fmt.Sprint(n)
		mustAppend(t, s, hawthornrail.NewTurn(ref(id), make([]byte, 2<<20), nil).WithRetention(startTime, retention))
	}
	_, position, _ := s.List(0, 100)
	clock.Advance(retention + expiryMargin + time.Second)
	if err := s.Expire(); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.turns"))
	if err != nil || len(files) != 1 {
		t.Errorf("%d segments, %v", len(files), err)
	}
	t.Run("positions rise after two restarts", func(t *testing.T) {
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		if err := open(t, folder, quickDisk{store.NewDisk()}, clock, limitBytes).Close(); err != nil {
			t.Fatal(err)
		}
		again := open(t, folder, quickDisk{store.NewDisk()}, clock, limitBytes)
		mustAppend(t, again, newTurn("new", "").WithRetention(clock.Now(), retention))
		if turns, _, _ := again.List(position, 10); len(turns) != 1 || turns[0].Ref() != ref("new") {
			t.Errorf("listed after the last position: %v", turns)
		}
	})
}

// Guards against a disk that fills up because a long conversation keeps the segments of its
// turns, and against a turn that is lost when they are compacted.
func TestLongConversationDoesNotFillTheDisk(t *testing.T) {
	const (
		limit   = 32 << 20
		turns   = 100
		fillers = 4
	)
	folder := t.TempDir()
	clock := clockwork.NewFakeClockAt(startTime)
	s := open(t, folder, quickDisk{store.NewDisk()}, clock, limit)
	var ids []string
	parent := ""
	for n := range turns {
		id := fmt.Sprint("turn", n)
		mustAppend(t, s, newTurn(id, parent).WithRetention(clock.Now(), retention))
		ids, parent = append(ids, id), id
		for k := range fillers {
			filler := hawthornrail.NewTurn(ref(fmt.Sprint("filler", n, "-", k)), make([]byte, 256<<10), nil)
			mustAppend(t, s, filler.WithRetention(clock.Now(), retention))
		}
		// The fillers of 90 s take up 18 MiB, and all of them 100 MiB.
		clock.Advance(5 * time.Second)
		if err := s.Expire(); err != nil {
			t.Fatal(err)
		}
	}
	assertChain(t, s, ids...)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	clock.Advance(retention + expiryMargin - 10*time.Second)
	again := open(t, folder, quickDisk{store.NewDisk()}, clock, 1<<20)
	assertChain(t, again, ids...)
	if size := again.Stats().Bytes(); size > 6<<20 {
		t.Errorf("%d bytes after the restart with a lower limit", size)
	}
}

// Guards against an ancestor that loses the retention of its descendant when it is written
// again after it, also when the log is read.
func TestCompactedAncestorIsKept(t *testing.T) {
	const limit = 64 << 10
	folder := t.TempDir()
	clock := clockwork.NewFakeClockAt(startTime)
	s := open(t, folder, quickDisk{store.NewDisk()}, clock, limit)
	filler := hawthornrail.NewTurn(ref("filler"), make([]byte, limit*3/4), nil).WithRetention(startTime, retention)
	mustAppend(t, s, filler, newTurn("a", ""))
	restart := func() {
		t.Helper()
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		s = open(t, folder, quickDisk{store.NewDisk()}, clock, limit)
	}
	restart()
	mustAppend(t, s, newTurn("b", "a").WithRetention(startTime.Add(50*time.Second), retention))
	clock.Advance(retention + expiryMargin + time.Second)
	for range 2 {
		if err := s.Expire(); err != nil {
			t.Fatal(err)
		}
		assertChain(t, s, "a", "b")
	}
	if size := s.Stats().Bytes(); size > limit/2 {
		t.Errorf("%d bytes after the compaction", size)
	}
	restart()
	assertChain(t, s, "a", "b")
}

// Guards against a jump of the time of day that takes turns along which have to be kept.
func TestClockStep(t *testing.T) {
	folder := t.TempDir()
	for _, now := range []time.Duration{0, retention + 25*time.Second, 10 * time.Second} {
		s := open(t, folder, quickDisk{store.NewDisk()}, clockwork.NewFakeClockAt(startTime.Add(now)), limitBytes)
		if now == 0 {
			mustAppend(t, s, newTurn("a", ""))
		}
		if err := s.Expire(); err != nil {
			t.Fatal(err)
		}
		assertChain(t, s, "a")
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a start that fails, or that loses a turn, after a power loss within the
// last record: whatever part of it is on the disk, all turns before it are there.
func TestTornTail(t *testing.T) {
	folder := t.TempDir()
	clock := clockwork.NewFakeClockAt(startTime)
	s := open(t, folder, quickDisk{store.NewDisk()}, clock, limitBytes)
	mustAppend(t, s, newTurn("a", ""))
	synced := s.Stats().Bytes()
	mustAppend(t, s, newTurn("b", "a"))
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob(filepath.Join(folder, "*.turns"))
	data, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	for size := synced; size < int64(len(data)); size++ {
		for _, tail := range []int{0, len(data) - int(size)} {
			// The rest is missing, or it is there as zeros.
			torn := t.TempDir()
			path := filepath.Join(torn, filepath.Base(files[0]))
			if err := os.WriteFile(path, append(slices.Clone(data[:size]), make([]byte, tail)...), 0o644); err != nil {
				t.Fatal(err)
			}
			again := open(t, torn, quickDisk{store.NewDisk()}, clock, limitBytes)
			assertChain(t, again, "a")
			assertError(t, again, ref("b"), store.ErrUnknown)
			mustAppend(t, again, newTurn("b", "a"))
			assertChain(t, again, "a", "b")
			if err := again.Close(); err != nil {
				t.Fatal(err)
			}
			again = open(t, torn, quickDisk{store.NewDisk()}, clock, limitBytes)
			assertChain(t, again, "a", "b")
			_ = again.Close()
		}
	}
}

// Guards against a damaged turn that hides those after it, that is returned, or that is said
// not to exist.
func TestDamagedContent(t *testing.T) {
	folder := t.TempDir()
	clock := clockwork.NewFakeClockAt(startTime)
	s := open(t, folder, quickDisk{store.NewDisk()}, clock, limitBytes)
	mustAppend(t, s, newTurn("a", ""))
	end := s.Stats().Bytes()
	mustAppend(t, s, newTurn("b", ""))
	files, _ := filepath.Glob(filepath.Join(folder, "*.turns"))
	f, err := os.OpenFile(files[0], os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if _, err := f.WriteAt([]byte("?"), end-1); err != nil {
		t.Fatal(err)
	}
	check := func(s *store.Store) {
		assertError(t, s, ref("a"), store.ErrIncomplete)
		assertChain(t, s, "b")
		if turns, err := s.Fetch([]hawthornrail.TurnRef{ref("a"), ref("b")}, 1); err != nil || len(turns) != 1 || turns[0].Ref() != ref("b") {
			t.Errorf("fetched %v, %v", turns, err)
		}
		if awaited := s.Awaited(10); !slices.Equal(awaited, []hawthornrail.TurnRef{ref("a")}) {
			t.Errorf("awaited %v", awaited)
		}
	}
	check(s)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	again := open(t, folder, quickDisk{store.NewDisk()}, clock, limitBytes)
	check(again)
	mustAppend(t, again, newTurn("a", ""))
	assertChain(t, again, "a")
}

// Guards against an acknowledgement before the sync: after a power loss at any moment, every
// acknowledged turn is there.
func TestAcknowledgedTurnsSurvivePowerLoss(t *testing.T) {
	folder := t.TempDir()
	clock := clockwork.NewFakeClockAt(startTime)
	disk := newFaultyDisk()
	s := open(t, folder, disk, clock, limitBytes)
	mustAppend(t, s, newTurn("a", ""))
	hang := make(chan struct{})
	disk.set(func() { disk.hang = hang })
	result := make(chan error, 1)
	go func() { result <- s.Append(newTurn("b", "a")) }()
	path, _ := filepath.Glob(filepath.Join(folder, "*.turns"))
	for disk.unsynced(path[0]) == 0 {
		time.Sleep(time.Millisecond)
	}
	assertError(t, s, ref("b"), store.ErrUnknown)
	select {
	case err := <-result:
		t.Errorf("acknowledged before the sync: %v", err)
	default:
	}
	for _, keep := range []func(int64) int64{
		func(int64) int64 { return 0 },
		func(unsynced int64) int64 { return unsynced / 2 },
		func(unsynced int64) int64 { return unsynced },
	} {
		lost := open(t, disk.afterPowerLoss(t, folder, keep), quickDisk{store.NewDisk()}, clock, limitBytes)
		assertChain(t, lost, "a")
	}
	close(hang)
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	lost := open(t, disk.afterPowerLoss(t, folder, func(int64) int64 { return 0 }), quickDisk{store.NewDisk()}, clock, limitBytes)
	assertChain(t, lost, "a", "b")
}

func (d *faultyDisk) unsynced(path string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.written[path] - d.synced[path]
}

// Guards against a disk that refuses writes for a while and leaves the store unusable or
// with turns that were not acknowledged.
func TestFailingDisk(t *testing.T) {
	for _, fail := range []struct {
		name string
		set  func(d *faultyDisk, fails bool)
	}{
		{"write", func(d *faultyDisk, fails bool) { d.failWrite = fails }},
		{"write and truncation", func(d *faultyDisk, fails bool) { d.failWrite, d.failTruncate = fails, fails }},
		{"sync", func(d *faultyDisk, fails bool) { d.failSync = fails }},
	} {
		t.Run(fail.name, func(t *testing.T) {
			folder := t.TempDir()
			clock := clockwork.NewFakeClockAt(startTime)
			disk := newFaultyDisk()
			s := open(t, folder, disk, clock, limitBytes)
			mustAppend(t, s, newTurn("a", ""))
			disk.set(func() { fail.set(disk, true) })
			if err := s.Append(newTurn("b", "a")); !errors.Is(err, errDisk) {
				t.Errorf("append: %v", err)
			}
			assertError(t, s, ref("b"), store.ErrUnknown)
			assertChain(t, s, "a")
			disk.set(func() { fail.set(disk, false) })
			mustAppend(t, s, newTurn("c", "a"))
			assertChain(t, s, "a", "c")
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			again := open(t, folder, disk, clock, limitBytes)
			assertChain(t, again, "a", "c")
			assertError(t, again, ref("b"), store.ErrUnknown)
		})
	}
}

// Guards against a log above its limit, and against one that is full and no longer read.
func TestFullStoreRefusesTurnsAndIsRead(t *testing.T) {
	clock := clockwork.NewFakeClockAt(startTime)
	s := open(t, t.TempDir(), quickDisk{store.NewDisk()}, clock, 1000)
	mustAppend(t, s, newTurn("a", ""))
	var err error
	for n := 0; n < 100 && err == nil; n++ {
		err = s.Append(newTurn(fmt.Sprint(n), "a"))
	}
	if !errors.Is(err, store.ErrFull) {
		t.Errorf("append: %v", err)
	}
	assertChain(t, s, "a", "0")
	if size := s.Stats().Bytes(); size > 1100 {
		t.Errorf("%d bytes with a limit of 1000", size)
	}
}

// Guards against a list that skips a turn or never ends.
func TestListHasEachTurnOnce(t *testing.T) {
	s := newStore(t)
	for n := range 10 {
		mustAppend(t, s, newTurn(fmt.Sprint(n), ""))
	}
	var ids []string
	var after uint64
	for more := true; more; {
		var turns []store.Listed
		turns, after, more = s.List(after, 3)
		for _, l := range turns {
			ids = append(ids, l.Ref().ID())
		}
	}
	if want := []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}; !slices.Equal(ids, want) {
		t.Errorf("listed %v", ids)
	}
	if turns, position, more := s.List(after, 3); len(turns) > 0 || position != after || more {
		t.Errorf("listed %v up to %d after the end", turns, position)
	}
}

// Guards against a fetch that changes a turn, or that exceeds its size.
func TestFetch(t *testing.T) {
	s := newStore(t)
	mustAppend(t, s, newTurn("a", ""), newTurn("b", "a"))
	turns, err := s.Fetch([]hawthornrail.TurnRef{ref("z"), ref("a"), ref("b")}, 1)
	if err != nil || len(turns) != 1 {
		t.Fatalf("%d turns, %v", len(turns), err)
	}
	turns, err = s.Fetch([]hawthornrail.TurnRef{ref("b")}, 1<<20)
	if err != nil || len(turns) != 1 {
		t.Fatalf("%d turns, %v", len(turns), err)
	}
	b := turns[0]
	if b.Ref() != ref("b") || b.Parent() != "a" || b.PlacementKey() != "program" || !bytes.Equal(b.Input(), input("b")) ||
		!bytes.Equal(b.Output(), output("b")) || !b.CompletedAt().Equal(startTime) || b.Retention() != retention {
		t.Errorf("fetched %v", b)
	}
}

// Measures saves of 6 KB by eight callers, with syncs and without, where it is all processor
// time.
func BenchmarkAppend(b *testing.B) {
	for name, disk := range map[string]store.Disk{"synced": store.NewDisk(), "unsynced": quickDisk{store.NewDisk()}} {
		b.Run(name, func(b *testing.B) {
			clock := clockwork.NewFakeClockAt(startTime)
			s := open(b, b.TempDir(), disk, clock, 1<<40)
			body := bytes.Repeat([]byte("x"), 3<<10)
			b.SetParallelism(8)
			var n atomic.Int64
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					id := fmt.Sprint(n.Add(1))
					if err := s.Append(hawthornrail.NewTurn(ref(id), body, body).WithRetention(startTime, retention)); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}

// appendChains stores turns of 6 KB in chains of a length, and returns the last turn.
func appendChains(b *testing.B, s *store.Store, turns, length int) hawthornrail.TurnRef {
	body := bytes.Repeat([]byte("x"), 3<<10)
	id := func(n int) string { return fmt.Sprint("an-attempt-id-of-32-characters-", n) }
	for n := range turns {
		parent := ""
		if n%length > 0 {
			parent = id(n - 1)
		}
		mustAppend(b, s, hawthornrail.NewTurn(ref(id(n)), body, body).WithParent(parent).
			WithPlacementKey(fmt.Sprint("program-", n/length)).WithRetention(startTime, retention))
	}
	return ref(id(turns - 1))
}

// Measures the read of chains of turns of 6 KB.
func BenchmarkChain(b *testing.B) {
	for _, turns := range []int{4, 32, 130} {
		b.Run(fmt.Sprint(turns), func(b *testing.B) {
			s := newStore(b)
			last := appendChains(b, s, turns, turns)
			for b.Loop() {
				if _, err := chainOf(s, last); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Measures the start with logs of turns of 6 KB, and the memory that a turn takes.
func BenchmarkOpen(b *testing.B) {
	for _, turns := range []int{2500, 10_000, 40_000} {
		b.Run(fmt.Sprint(turns), func(b *testing.B) {
			folder := b.TempDir()
			clock := clockwork.NewFakeClockAt(startTime)
			s := open(b, folder, quickDisk{store.NewDisk()}, clock, 1<<30)
			appendChains(b, s, turns, 100)
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				before := heapBytes()
				again := open(b, folder, quickDisk{store.NewDisk()}, clock, 1<<30)
				b.ReportMetric(float64(heapBytes()-before)/float64(turns), "heap-B/turn")
				if err := again.Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a store that is said to be full only when it refuses turns that are under
// way, or for longer than its turns are kept.
func TestRoom(t *testing.T) {
	const limit = 8 << 20
	fake := clockwork.NewFakeClockAt(startTime)
	s := open(t, t.TempDir(), store.NewDisk(), fake, limit)
	defer func() { _ = s.Close() }()
	large := make([]byte, 1<<20)
	appendTurn := func(n int) error {
		id := fmt.Sprint("large", n)
		return s.Append(hawthornrail.NewTurn(ref(id), large, nil).WithPlacementKey(id).WithRetention(fake.Now(), time.Minute))
	}
	stored := 0
	for ok := true; ok; ok, _ = s.Room() {
		if err := appendTurn(stored); err != nil {
			t.Fatalf("turn %d: %v, and there was room", stored, err)
		}
		stored++
	}
	if stored < 6 {
		t.Errorf("full after %d MiB of 8", stored)
	}
	_, after := s.Room()
	if after < time.Minute || after > 2*time.Minute {
		t.Errorf("room after %v, and turns are kept for a minute", after)
	}
	fake.Advance(after + time.Second)
	if err := s.Expire(); err != nil {
		t.Fatal(err)
	}
	if ok, _ := s.Room(); !ok {
		t.Error("no room after the turns have expired")
	}
}
