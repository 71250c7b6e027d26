package replica

import (
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
	// missing counts the turns of the last list that are not stored yet, and missingSince is
	// when there were first any.
	missing      int
	missingSince time.Time
}

// isComplete reports whether this VM has all that it should of the other VM's turns. A log
// that was read long ago does not show that: this process may have been paused meanwhile.
func (p *progress) isComplete(now time.Time) bool {
	return p.pulled && p.missing == 0 && now.Sub(p.pulledAt) <= maxPullAge
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
}

// certain reports whether the VM holds each turn that it should. Other VMs may know a change
// of the list later, so a list that has just changed is not relied on.
func (e evidence) certain() bool {
	return e.listed && e.unpulled == 0 && e.suspected == 0 && e.listAge >= listSettleTime
}

// evidenceOf returns the evidence for a VM at an address.
func evidenceOf(v *view, address string, peers map[string]*progress, suspected func(string) bool, listedAt, now time.Time) evidence {
	e := evidence{listed: v.lists(address), vms: len(v.vms), listAge: now.Sub(listedAt)}
	for _, vm := range v.others(address) {
		if p := peers[vm.Address()]; p == nil || !p.isComplete(now) {
			e.unpulled++
		}
		if suspected(vm.Address()) {
			e.suspected++
		}
	}
	return e
}

// without returns the refs that none of the turns has.
func without(refs []hawthornrail.TurnRef, turns []hawthornrail.Turn) []hawthornrail.TurnRef {
	got := make(map[hawthornrail.TurnRef]bool, len(turns))
	for _, t := range turns {
		got[t.Ref()] = true
	}
	var rest []hawthornrail.TurnRef
	for _, r := range refs {
		if !got[r] {
			rest = append(rest, r)
		}
	}
	return rest
}
