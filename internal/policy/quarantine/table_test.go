package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/quarantine"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func digest(n int) (d hawthornrail.RequestDigest) {
	binary.BigEndian.PutUint64(d[:], uint64(n))
	return d
}

func crash(t *quarantine.Table, d hawthornrail.RequestDigest, count int, now time.Time) {
	for n := range count {
		t.RecordCrash(d, "team", fmt.Sprintf("e%d@%d", n, now.UnixMilli()), now)
	}
}

func assertAllowed(t *testing.T, table *quarantine.Table, d hawthornrail.RequestDigest, now time.Time, want bool) {
	t.Helper()
	if got := table.Check(d, now).Allowed(); got != want {
		t.Errorf("after %v allowed: %t, want %t", now.Sub(start), got, want)
	}
}

func TestTable(t *testing.T) {
	t.Run("two crashes are allowed", func(t *testing.T) {
		table := quarantine.NewTable()
		crash(table, digest(1), 2, start)
		assertAllowed(t, table, digest(1), start, true)
	})
	t.Run("one endpoint counts once", func(t *testing.T) {
		table := quarantine.NewTable()
		for range 5 {
			table.RecordCrash(digest(1), "team", "e1", start)
		}
		assertAllowed(t, table, digest(1), start, true)
	})
	t.Run("the third crash refuses", func(t *testing.T) {
		table := quarantine.NewTable()
		crash(table, digest(1), 3, start)
		assertAllowed(t, table, digest(1), start.Add(time.Second), false)
		assertAllowed(t, table, digest(2), start.Add(time.Second), true)
	})
	t.Run("a completion clears", func(t *testing.T) {
		table := quarantine.NewTable()
		crash(table, digest(1), 3, start)
		table.RecordCompletion(digest(1), start.Add(time.Second))
		assertAllowed(t, table, digest(1), start.Add(time.Second), true)
	})
	t.Run("a completion before the crash does not clear", func(t *testing.T) {
		table := quarantine.NewTable()
		crash(table, digest(1), 3, start)
		table.RecordCompletion(digest(1), start.Add(-time.Second))
		assertAllowed(t, table, digest(1), start, false)
	})
}

// Guards against a deadly request that is tried again and again: each trial may
// take an endpoint down, and callers repeat it without end.
func TestTrialsGetRare(t *testing.T) {
	table := quarantine.NewTable()
	crash(table, digest(1), 3, start)
	var trials []time.Duration
	for elapsed := time.Duration(0); elapsed < 10*time.Minute; elapsed += 100 * time.Millisecond {
		now := start.Add(elapsed)
		if table.Check(digest(1), now).TrialDue() && table.StartTrial(digest(1), now).Allowed() {
			trials = append(trials, elapsed)
			table.RecordCrash(digest(1), "team", fmt.Sprintf("t%d", len(trials)), now)
		}
	}
	late := 0
	for _, at := range trials {
		if at > 3*time.Second && at <= time.Minute {
			late++
		}
	}
	if late > 3 || len(trials) < 4 || len(trials) > 8 {
		t.Errorf("trials after %v, want three at most in the first minute, and some later", trials)
	}
}

// Guards against a second trial while the outcome of the first one is not known.
func TestOneTrialAtATime(t *testing.T) {
	table := quarantine.NewTable()
	crash(table, digest(1), 3, start)
	now := start.Add(4 * time.Second)
	if !table.StartTrial(digest(1), now).Allowed() {
		t.Fatal("the first trial is refused")
	}
	if d := table.StartTrial(digest(1), now.Add(2*time.Second)); d.Allowed() || d.RetryAfter() <= 0 {
		t.Errorf("the second trial: %+v", d)
	}
}

// Guards against an innocent request that stays refused: the content of many
// callers is at endpoints that end for another reason, three times over.
func TestBystanderIsClearedByOtherCopies(t *testing.T) {
	table := quarantine.NewTable()
	for round := range 3 {
		now := start.Add(time.Duration(round) * 5 * time.Second)
		crash(table, digest(1), 4, now)
		// A copy at an endpoint that goes on completes soon after.
		table.RecordCompletion(digest(1), now.Add(200*time.Millisecond))
		assertAllowed(t, table, digest(1), now.Add(200*time.Millisecond), true)
	}
}

// Guards against a team that fills the table, so that the requests of others which
// crash endpoints are not noticed or are forgotten.
func TestTeamCannotFillTable(t *testing.T) {
	table := quarantine.NewTable()
	for n := range 3 {
		table.RecordCrash(digest(0), "victim", fmt.Sprintf("e%d", n), start)
	}
	for n := range 10_000 {
		table.RecordCrash(digest(n+1), "hostile", "e", start.Add(time.Duration(n)*time.Millisecond))
	}
	assertAllowed(t, table, digest(0), start.Add(time.Second), false)
	if table.Len() > 1000 {
		t.Errorf("%d digests are kept", table.Len())
	}
}

// Guards against VMs that disagree: what they know is the same in whatever order
// they learn it, and however often.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*quarantine.Table{quarantine.NewTable(), quarantine.NewTable(), quarantine.NewTable()}
		now := start
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Second)
			table := tables[rapid.IntRange(0, 2).Draw(t, "vm")]
			d := digest(rapid.IntRange(0, 2).Draw(t, "digest"))
			if rapid.IntRange(0, 4).Draw(t, "completes") == 0 {
				table.RecordCompletion(d, now)
			} else {
				table.RecordCrash(d, "team", fmt.Sprintf("e%d", step), now)
			}
		}
		// Each VM sends to each other one twice, so that all hear of all.
		for range 2 {
			for _, pair := range rapid.Permutation([][2]int{{0, 1}, {1, 0}, {1, 2}, {2, 1}, {0, 2}, {2, 0}}).Draw(t, "order") {
				tables[pair[1]].Merge(tables[pair[0]].Records(now), now)
			}
		}
		prints := []uint64{tables[0].Fingerprint(), tables[1].Fingerprint(), tables[2].Fingerprint()}
		if slices.Max(prints) != slices.Min(prints) {
			t.Fatalf("the tables differ: %v", prints)
		}
	})
}

// Guards against entries that are kept for ever: an endpoint's software may have
// been mended since.
func TestCrashesExpire(t *testing.T) {
	table := quarantine.NewTable()
	crash(table, digest(1), 3, start)
	later := start.Add(time.Hour)
	crash(table, digest(2), 1, later)
	assertAllowed(t, table, digest(1), later, true)
	if table.Len() != 1 {
		t.Errorf("%d digests are kept", table.Len())
	}
}
