package replica

import (
	"cmp"
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// progress is how far the log of another VM has been read.
type progress struct {
	epoch uint64
	after uint64
	// pulled is set once the log was read to its end since the VM last failed to respond, and
	// pulledAt is when it was last asked for what follows the end.
	pulled   bool
	pulledAt time.Time
	// missing are the turns of its list that are not stored yet, the newest last, and
	// missingSince is when there were first any.
	missing      []missingTurn
	missingSince time.Time
	// fetching is set while some that were taken from missing may not be stored yet.
	fetching bool
	// doubtUntil is until when turns may be kept that no VM holds, as far as it knows.
	doubtUntil time.Time
}

// hasAll reports whether this VM has all that it should of what the log listed.
func (p *progress) hasAll() bool { return p.pulled && len(p.missing) == 0 && !p.fetching }

// missingTurn is a turn that a VM lists and that is not stored here.
type missingTurn struct {
	ref          hawthornrail.TurnRef
	contentBytes int64
	completedMS  int64
}

// addMissing adds turns that are missing.
func (p *progress) addMissing(turns []missingTurn, now time.Time) {
	if len(turns) == 0 {
		return
	}
	if len(p.missing) == 0 {
		p.missingSince = now
	}
	p.missing = append(p.missing, turns...)
	slices.SortStableFunc(p.missing, func(a, b missingTurn) int { return cmp.Compare(a.completedMS, b.completedMS) })
}

// takeNewest removes the newest missing turns, at most limit of them, and returns them, the
// newest first.
func (p *progress) takeNewest(limit int) []missingTurn {
	first := max(0, len(p.missing)-limit)
	taken := slices.Clone(p.missing[first:])
	p.missing = p.missing[:first]
	slices.Reverse(taken)
	p.fetching = true
	return taken
}

// newest returns when the newest missing turn was completed, in milliseconds; ok is false if
// none is missing.
func (p *progress) newest() (completedMS int64, ok bool) {
	if len(p.missing) == 0 {
		return 0, false
	}
	return p.missing[len(p.missing)-1].completedMS, true
}

// isComplete reports whether this VM has all that it should of the other VM's turns. A log
// that was read long ago does not show that: this process may have been paused meanwhile.
func (p *progress) isComplete(now time.Time) bool {
	return p.hasAll() && now.Sub(p.pulledAt) <= maxPullAge
}

// evidence is what a VM decides by whether a turn that it lacks can be elsewhere.
type evidence struct {
	// listed is set if the VM itself is listed.
	listed bool
	vms    int
	// unpulled are the other VMs whose log was not read to its end, and suspected those that
	// do not respond.
	unpulled  int
	suspected int
	// listAge is how long the list of VMs has been the same.
	listAge time.Duration
	// doubt is how much longer turns may be kept that no VM holds.
	doubt time.Duration
}

// certain reports whether the VM holds each turn that it should. Other VMs may know a change
// of the list later, so a list that has just changed is not relied on.
func (e evidence) certain() bool {
	return e.listed && e.unpulled == 0 && e.suspected == 0 && e.listAge >= listSettleTime && e.doubt <= 0
}

// evidenceOf returns the evidence for a VM at an address.
func evidenceOf(v *view, address string, peers map[string]*progress, suspected func(string) bool, listedAt, now time.Time) evidence {
	e := evidence{listed: v.lists(address), vms: len(v.vms), listAge: now.Sub(listedAt)}
	for _, vm := range v.others(address) {
		p := peers[vm.Address()]
		if p == nil || !p.isComplete(now) {
			e.unpulled++
		}
		if suspected(vm.Address()) {
			e.suspected++
		}
		if p != nil {
			e.doubt = max(e.doubt, p.doubtUntil.Sub(now))
		}
	}
	return e
}

// without returns the turns that are not among those that were fetched.
func without(missing []missingTurn, fetched []hawthornrail.Turn) []missingTurn {
	got := make(map[hawthornrail.TurnRef]bool, len(fetched))
	for _, t := range fetched {
		got[t.Ref()] = true
	}
	return slices.DeleteFunc(missing, func(m missingTurn) bool { return got[m.ref] })
}
