package store_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"hawthornrail.example/hawthornrail/internal/conversation/store"
)

// mustLocate finds the chain of a turn.
func mustLocate(t rapid.TB, s *store.Store, id string) store.Located {
	t.Helper()
	located, err := s.Locate(ref(id))
	if err != nil {
		t.Fatal(err)
	}
	return located
}

// Guards against a chain in parts that lacks bytes, has some twice or ends elsewhere.
func TestPartsMakeUpChain(t *testing.T) {
	s := newStore(t)
	mustAppend(t, s, newTurn("a", ""), newTurn("second", "a"), newTurn("third", "second"))
	whole := content("a", "second", "third")
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, int64(len(whole))+1).Draw(t, "limit")
		located := mustLocate(t, s, "third")
		var parts []byte
		for int64(len(parts)) < located.Size() {
			part, err := located.Read(int64(len(parts)), limit)
			if err != nil || len(part) == 0 || int64(len(part)) > limit {
				t.Fatalf("%d bytes after %d, error %v", len(part), len(parts), err)
			}
			parts = append(parts, part...)
		}
		if !bytes.Equal(parts, whole) {
			t.Errorf("%q, want %q", parts, whole)
		}
	})
	for _, offset := range []int64{int64(len(whole)), int64(len(whole)) + 7} {
		if part, err := mustLocate(t, s, "third").Read(offset, 10); err != nil || len(part) > 0 {
			t.Errorf("%q at %d, error %v", part, offset, err)
		}
	}
}

// Guards against parts of different chains that are put together: of two VMs, and of a turn
// that was replaced in between.
func TestDigestTellsChainsApart(t *testing.T) {
	s, other := newStore(t), newStore(t)
	mustAppend(t, s, newTurn("a", ""), newTurn("b", "a"))
	mustAppend(t, other, newTurn("b", "a"), newTurn("a", ""))
	digest := mustLocate(t, s, "b").Digest()
	if got := mustLocate(t, other, "b").Digest(); got != digest {
		t.Errorf("digest %x of the same chain in another store, want %x", got, digest)
	}
	if got := mustLocate(t, s, "a").Digest(); got == digest {
		t.Error("a shorter chain has the same digest")
	}
	changed := newTurn("a", "").WithOutput([]byte("other of a")).WithRetention(startTime.Add(time.Second), retention)
	mustAppend(t, other, changed)
	if got := mustLocate(t, other, "b").Digest(); got == digest {
		t.Error("a chain whose first turn was replaced has the same digest")
	}
}

// Guards against a part that is returned although another part of its turn is damaged.
func TestPartOfDamagedTurn(t *testing.T) {
	for offset := range int64(2) {
		folder := t.TempDir()
		s := open(t, folder, quickDisk{store.NewDisk()}, clockwork.NewFakeClockAt(startTime), limitBytes)
		mustAppend(t, s, newTurn("a", ""))
		damage(t, folder, input("a")[3:8])
		located := mustLocate(t, s, "a")
		from := offset * (located.Size() - 2)
		if part, err := located.Read(from, 2); !errors.Is(err, store.ErrIncomplete) {
			t.Errorf("part %q at %d, error %v", part, from, err)
		}
		assertError(t, s, ref("a"), store.ErrIncomplete)
	}
}

// damage changes the first occurrence of some bytes in the segments of a folder.
func damage(t *testing.T, folder string, some []byte) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.turns"))
	if err != nil || len(paths) != 1 {
		t.Fatalf("segments %v, error %v", paths, err)
	}
	data, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	changed := bytes.Replace(data, some, bytes.ToUpper(some), 1)
	if err := os.WriteFile(paths[0], changed, 0o600); err != nil || bytes.Equal(changed, data) {
		t.Fatalf("not damaged, error %v", err)
	}
}
