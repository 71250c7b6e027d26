package suspects

import (
	"math"
	"time"

	"hawthornrail.example/hawthornrail/internal/policy/quarantine"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

func recordsToWire(records []quarantine.Record) []*vmpb.Suspect {
	list := make([]*vmpb.Suspect, 0, len(records))
	for _, r := range records {
		list = append(list, recordToWire(r))
	}
	return list
}

func recordToWire(r quarantine.Record) *vmpb.Suspect {
	m := &vmpb.Suspect{Digest: r.Digest[:], Team: r.Team, Cleared: r.Cleared, ClearedAgeMs: ageToWire(r.ClearedAge)}
	for _, crash := range r.Crashes {
		m.Crashes = append(m.Crashes, &vmpb.CrashedEndpoint{Endpoint: crash.Endpoint, AgeMs: ageToWire(crash.Age)})
	}
	return m
}

// recordsFromWire returns the records of a message; it drops those whose digest
// has another length.
func recordsFromWire(list []*vmpb.Suspect) []quarantine.Record {
	var records []quarantine.Record
	for _, m := range list {
		r := quarantine.Record{Team: m.GetTeam(), Cleared: m.GetCleared(), ClearedAge: milliseconds(m.GetClearedAgeMs())}
		if copy(r.Digest[:], m.GetDigest()) != len(r.Digest) || len(m.GetDigest()) != len(r.Digest) {
			continue
		}
		for _, crash := range m.GetCrashes() {
			r.Crashes = append(r.Crashes, quarantine.Crash{Endpoint: crash.GetEndpoint(), Age: milliseconds(crash.GetAgeMs())})
		}
		records = append(records, r)
	}
	return records
}

func ageToWire(age time.Duration) uint32 {
	return uint32(min(math.MaxUint32, max(0, age.Milliseconds())))
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
