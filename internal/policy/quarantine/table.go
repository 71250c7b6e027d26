package quarantine

import (
	"maps"
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// maxCrashes is the number of crashed endpoints from which a digest is
	// refused.
	maxCrashes = 3
	// firstPause is how long a digest is refused before one request tries it
	// again. Each further trial without success multiplies the pause by
	// pauseFactor, up to maxPause.
	firstPause  = 3 * time.Second
	pauseFactor = 4
	maxPause    = 5 * time.Minute
	// trialTolerance is how much earlier than here a trial may be due at the VM that asks
	// for it: the times of crashes differ by as long as reports take.
	trialTolerance = 500 * time.Millisecond
	// retention is how long a crash is remembered. It exceeds maxPause, so that a
	// digest is not forgotten between two trials.
	retention = 15 * time.Minute
	// clearedRetention is how long it is remembered that a digest was cleared, for
	// VMs that learn of its crashes late.
	clearedRetention = time.Minute
	// maxDigests and maxDigestsOfTeam bound the digests that are remembered.
	maxDigests       = 2048
	maxDigestsOfTeam = 256
	// maxEndpoints bounds the endpoints that are remembered for one digest.
	maxEndpoints = 8
)

// Table holds the digests of the requests that endpoints had when they crashed. A
// digest is cleared when a request with it completes: one that crashes endpoints
// would not. Callers serialise its methods, which take the current time as an
// argument.
type Table struct {
	entries map[hawthornrail.RequestDigest]*entry
	teams   map[string]int
}

// entry is what is known of one digest.
type entry struct {
	team string
	// crashes maps the endpoints that crashed with the digest after it was last
	// cleared to the time of the crash.
	crashes   map[string]time.Time
	clearedAt time.Time
	// trials counts the trials that this VM has granted since the digest was
	// last cleared, the last one at lastTrial.
	trials    int
	lastTrial time.Time
	// deferredUntil is the time before which the VM that decides on trials grants
	// none.
	deferredUntil time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[hawthornrail.RequestDigest]*entry), teams: make(map[string]int)}
}

// Len returns the number of digests in the table.
func (t *Table) Len() int { return len(t.entries) }

// RecordCrash records that an endpoint crashed while it had a team's digest, and
// reports whether this was unknown.
func (t *Table) RecordCrash(digest hawthornrail.RequestDigest, team, endpoint string, now time.Time) bool {
	t.expire(now)
	return t.addCrash(digest, team, endpoint, now)
}

func (t *Table) addCrash(digest hawthornrail.RequestDigest, team, endpoint string, at time.Time) bool {
	e := t.entryOf(digest, team)
	if !at.After(e.clearedAt) {
		return false
	}
	if _, ok := e.crashes[endpoint]; ok || len(e.crashes) >= maxEndpoints {
		return false
	}
	e.crashes[endpoint] = at
	return true
}

// RecordCompletion clears a digest that an endpoint has run to its end, and
// reports whether it was suspected.
func (t *Table) RecordCompletion(digest hawthornrail.RequestDigest, at time.Time) bool {
	e, ok := t.entries[digest]
	if !ok || !at.After(e.clearedAt) || len(e.crashes) == 0 {
		return false
	}
	e.clear(at)
	return true
}

func (e *entry) clear(at time.Time) {
	e.clearedAt = at
	e.trials, e.lastTrial, e.deferredUntil = 0, time.Time{}, time.Time{}
	maps.DeleteFunc(e.crashes, func(_ string, crashed time.Time) bool { return !crashed.After(at) })
}

// Crashes returns the number of endpoints that crashed with a digest.
func (t *Table) Crashes(digest hawthornrail.RequestDigest) int {
	if e, ok := t.entries[digest]; ok {
		return len(e.crashes)
	}
	return 0
}

// IsQuarantined reports whether a digest is quarantined.
func (t *Table) IsQuarantined(digest hawthornrail.RequestDigest) bool {
	return t.Crashes(digest) >= maxCrashes
}

// Quarantined returns the number of quarantined digests.
func (t *Table) Quarantined() int {
	count := 0
	for _, e := range t.entries {
		if len(e.crashes) >= maxCrashes {
			count++
		}
	}
	return count
}

// Defer records that another VM has decided that a digest is not tried before a
// time.
func (t *Table) Defer(digest hawthornrail.RequestDigest, until time.Time) {
	if e, ok := t.entries[digest]; ok {
		e.deferredUntil = until
	}
}

// Check returns whether a digest may be sent to endpoints.
func (t *Table) Check(digest hawthornrail.RequestDigest, now time.Time) Decision {
	e, ok := t.entries[digest]
	if !ok || len(e.crashes) < maxCrashes {
		return Decision{}
	}
	if wait := e.pauseEnd().Sub(now); wait > 0 {
		return Decision{quarantined: true, retryAfter: wait}
	}
	return Decision{quarantined: true}
}

// StartTrial reports whether one request with a quarantined digest may be sent;
// if so, no other one may until the next pause has passed. It is called at one VM
// for all, and asked by one at which the trial is due.
func (t *Table) StartTrial(digest hawthornrail.RequestDigest, now time.Time) Decision {
	d := t.Check(digest, now)
	if d.Allowed() || d.RetryAfter() > trialTolerance {
		return d
	}
	e := t.entries[digest]
	e.trials++
	e.lastTrial = now
	return Decision{}
}

// pauseEnd returns when a quarantined digest may be tried again.
func (e *entry) pauseEnd() time.Time {
	crashes := e.sortedCrashes()
	last := crashes[len(crashes)-1]
	if e.lastTrial.After(last) {
		last = e.lastTrial
	}
	end := last.Add(pauseAfter(max(e.trials, failedTrials(crashes))))
	if e.deferredUntil.After(end) {
		return e.deferredUntil
	}
	return end
}

// failedTrials returns how many of the crashes were those of trials, on whichever
// VM: requests that were in flight at the quarantine crash endpoints before the
// first pause has passed.
func failedTrials(crashes []time.Time) int {
	firstTrial := crashes[maxCrashes-1].Add(firstPause)
	trials := 0
	for _, at := range crashes {
		if !at.Before(firstTrial) {
			trials++
		}
	}
	return trials
}

// sortedCrashes returns the times of the crashes, the first one first.
func (e *entry) sortedCrashes() []time.Time {
	return slices.SortedFunc(maps.Values(e.crashes), time.Time.Compare)
}

// pauseAfter returns the pause after a number of trials without success.
func pauseAfter(trials int) time.Duration {
	pause := firstPause
	for range trials {
		pause = min(maxPause, pause*pauseFactor)
	}
	return pause
}

// entryOf returns the entry of a digest. If there is no room for a new one, it
// removes the least incriminated digest, of the same team if that one has its
// share.
func (t *Table) entryOf(digest hawthornrail.RequestDigest, team string) *entry {
	if e, ok := t.entries[digest]; ok {
		return e
	}
	switch {
	case t.teams[team] >= maxDigestsOfTeam:
		t.evict(func(e *entry) bool { return e.team == team })
	case len(t.entries) >= maxDigests:
		t.evict(func(*entry) bool { return true })
	}
	e := &entry{team: team, crashes: make(map[string]time.Time)}
	t.entries[digest] = e
	t.teams[team]++
	return e
}

// evict removes the digest with the fewest crashes and the oldest last one among
// the candidates.
func (t *Table) evict(candidate func(*entry) bool) {
	var victim hawthornrail.RequestDigest
	var least *entry
	for digest, e := range t.entries {
		if candidate(e) && (least == nil || e.before(least)) {
			victim, least = digest, e
		}
	}
	if least != nil {
		t.remove(victim)
	}
}

// before reports whether an entry is removed before another one.
func (e *entry) before(other *entry) bool {
	if len(e.crashes) != len(other.crashes) {
		return len(e.crashes) < len(other.crashes)
	}
	return e.lastChange().Before(other.lastChange())
}

func (e *entry) lastChange() time.Time {
	last := e.clearedAt
	for _, at := range e.crashes {
		if at.After(last) {
			last = at
		}
	}
	return last
}

func (t *Table) remove(digest hawthornrail.RequestDigest) {
	team := t.entries[digest].team
	delete(t.entries, digest)
	if t.teams[team]--; t.teams[team] <= 0 {
		delete(t.teams, team)
	}
}

// expire removes what is older than its retention.
func (t *Table) expire(now time.Time) {
	for digest, e := range t.entries {
		maps.DeleteFunc(e.crashes, func(_ string, at time.Time) bool { return now.Sub(at) > retention })
		if len(e.crashes) == 0 && now.Sub(e.clearedAt) > clearedRetention {
			t.remove(digest)
		}
	}
}

// sortedEndpoints returns the endpoints that crashed with the digest.
func (e *entry) sortedEndpoints() []string { return slices.Sorted(maps.Keys(e.crashes)) }
