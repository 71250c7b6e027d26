package account_test

import (
	"os"
	"path/filepath"
	"testing"

	"hawthornrail.example/hawthornrail/internal/program/account"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

func openedRecord(program string) *vmpb.AccountRecord {
	return &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_Opened{Opened: &vmpb.AccountOpened{Program: program, Budget: 1}}}
}

func assertReplayed(t *testing.T, folder string, want ...string) {
	t.Helper()
	var got []string
	journal, _, err := account.OpenJournal(folder, func(r *vmpb.AccountRecord) { got = append(got, r.GetOpened().GetProgram()) })
	if err != nil {
		t.Fatal(err)
	}
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	if len(got) != len(want) {
		t.Fatalf("replayed %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("replayed %v, want %v", got, want)
		}
	}
}

func appendRecords(t *testing.T, folder string, programs ...string) {
	t.Helper()
	j, _, err := account.OpenJournal(folder, func(*vmpb.AccountRecord) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range programs {
		number, err := j.Append(openedRecord(p))
		if err != nil {
			t.Fatal(err)
		}
		if err := j.Wait(number); err != nil {
			t.Fatal(err)
		}
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestJournal(t *testing.T) {
	t.Run("records are replayed", func(t *testing.T) {
		folder := t.TempDir()
		appendRecords(t, folder, "a", "b")
		appendRecords(t, folder, "c")
		assertReplayed(t, folder, "a", "b", "c")
	})
	t.Run("incomplete and zeroed records are truncated", func(t *testing.T) {
		folder := t.TempDir()
		appendRecords(t, folder, "a", "b")
		path := filepath.Join(folder, "accounts.journal")
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, append(data[:len(data)-2], make([]byte, 40)...), 0o600); err != nil {
			t.Fatal(err)
		}
		appendRecords(t, folder, "c")
		assertReplayed(t, folder, "a", "c")
	})
	t.Run("compaction replaces the records", func(t *testing.T) {
		folder := t.TempDir()
		j, _, err := account.OpenJournal(folder, func(*vmpb.AccountRecord) {})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := j.Append(openedRecord("a")); err != nil {
			t.Fatal(err)
		}
		if err := j.Compact([]*vmpb.AccountRecord{openedRecord("b")}); err != nil {
			t.Fatal(err)
		}
		if _, err := j.Append(openedRecord("c")); err != nil {
			t.Fatal(err)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		assertReplayed(t, folder, "b", "c")
	})
}

func FuzzJournal(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x02\x00\x00\x00\x00ab"))
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, "accounts.journal"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		j, _, err := account.OpenJournal(folder, func(*vmpb.AccountRecord) {})
		if err != nil {
			t.Fatal(err)
		}
		_ = j.Close()
	})
}
