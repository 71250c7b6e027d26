package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
	hawthornrail "hawthornrail.example/hawthornrail"
)

// Record is what one VM knows of a digest, for other VMs. Times are ages, since
// the VMs' clocks differ.
type Record struct {
	Digest hawthornrail.RequestDigest
	Team   string
	// Crashes are the endpoints that crashed with the digest.
	Crashes []Crash
	// Cleared reports that the digest has completed, ClearedAge ago.
	Cleared    bool
	ClearedAge time.Duration
}

// Crash is an endpoint that crashed with a digest.
type Crash struct {
	Endpoint string
	Age      time.Duration
}

// Record returns what is known of a digest; ok is false if nothing is.
func (t *Table) Record(digest hawthornrail.RequestDigest, now time.Time) (r Record, ok bool) {
	e, ok := t.entries[digest]
	if !ok {
		return Record{}, false
	}
	r = Record{Digest: digest, Team: e.team, Cleared: !e.clearedAt.IsZero()}
	if r.Cleared {
		r.ClearedAge = now.Sub(e.clearedAt)
	}
	for _, endpoint := range e.sortedEndpoints() {
		r.Crashes = append(r.Crashes, Crash{Endpoint: endpoint, Age: now.Sub(e.crashes[endpoint])})
	}
	return r, true
}

// Records returns the records of all digests.
func (t *Table) Records(now time.Time) []Record {
	t.expire(now)
	records := make([]Record, 0, len(t.entries))
	for digest := range t.entries {
		r, _ := t.Record(digest, now)
		records = append(records, r)
	}
	return records
}

// Merge adds what another VM knows.
func (t *Table) Merge(records []Record, now time.Time) {
	t.expire(now)
	for _, r := range records {
		t.merge(r, now)
	}
}

func (t *Table) merge(r Record, now time.Time) {
	clearedAt := now.Add(-r.ClearedAge)
	if r.Cleared && r.ClearedAge <= clearedRetention && clearedAt.After(t.entryOf(r.Digest, r.Team).clearedAt) {
		t.entries[r.Digest].clear(clearedAt)
	}
	for _, c := range r.Crashes {
		if c.Age <= retention {
			t.addCrash(r.Digest, r.Team, c.Endpoint, now.Add(-c.Age))
		}
	}
}

// Fingerprint returns a value that is equal for tables with the same suspects.
func (t *Table) Fingerprint() uint64 {
	var sum uint64
	for digest, e := range t.entries {
		for endpoint := range e.crashes {
			var d xxhash.Digest
			d.Reset()
			// A hash returns no error.
			_, _ = d.Write(digest[:])
			_, _ = d.WriteString(endpoint)
			sum ^= d.Sum64()
		}
	}
	return sum
}
