package store

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// ExpiryMargin is how much longer than its retention a turn is kept: the time of day can
	// jump by seconds, and clocks of VMs differ.
	ExpiryMargin   = 30 * time.Second
	expiryMarginMS = int64(ExpiryMargin / time.Millisecond)
	// maxChainTurns bounds a walk to the first turn of a chain, which damaged data could
	// make endless.
	maxChainTurns = 100_000
)

// index finds the entries of turns. It does no I/O.
type index struct {
	turns map[hawthornrail.TurnRef]*entry
	// owners counts the teams that have a turn with an id.
	owners map[string]int
	// awaited are turns that are known to exist and are not held: ancestors of others and
	// those whose content is damaged, with the time until which they are kept.
	awaited map[hawthornrail.TurnRef]int64
	// names has one copy of each team and placement key, which many turns share.
	names map[string]string
}

func newIndex() *index {
	x := &index{turns: make(map[hawthornrail.TurnRef]*entry), owners: make(map[string]int), awaited: make(map[hawthornrail.TurnRef]int64)}
	x.names = make(map[string]string)
	return x
}

func (x *index) intern(name string) string {
	if known, ok := x.names[name]; ok {
		return known
	}
	x.names[name] = name
	return name
}

// insert adds an entry, unless the turn is held with a later completion.
func (x *index) insert(e *entry) {
	e.ref = hawthornrail.NewTurnRef(x.intern(e.ref.Team()), e.ref.ID())
	e.placementKey = x.intern(e.placementKey)
	e.segment.add(e)
	old, held := x.turns[e.ref]
	if held && old.completedMS > e.completedMS {
		e.segment.drop(e)
		return
	}
	if held {
		e.expiryMS = max(e.expiryMS, old.expiryMS)
		old.segment.drop(old)
	} else {
		x.owners[e.ref.ID()]++
	}
	if until, ok := x.awaited[e.ref]; ok {
		e.expiryMS = max(e.expiryMS, until)
		delete(x.awaited, e.ref)
	}
	x.turns[e.ref] = e
	x.extendAncestors(e)
}

// insertDamaged adds a turn whose content can't be read.
func (x *index) insertDamaged(e *entry) {
	if _, held := x.turns[e.ref]; !held {
		x.awaited[e.ref] = max(x.awaited[e.ref], e.expiryMS)
	}
	x.extendAncestors(e)
}

// extendAncestors keeps the ancestors of a turn for as long as the turn.
func (x *index) extendAncestors(e *entry) {
	for n := 0; n < maxChainTurns && e.parent != ""; n++ {
		ref := e.parentRef()
		parent, held := x.turns[ref]
		if !held {
			x.awaited[ref] = max(x.awaited[ref], e.expiryMS)
			return
		}
		if parent.expiryMS >= e.expiryMS {
			return
		}
		parent.expiryMS = e.expiryMS
		e = parent
	}
}

// chain returns the entries of a turn and its ancestors, the oldest last.
func (x *index) chain(ref hawthornrail.TurnRef) ([]*entry, error) {
	if _, held := x.turns[ref]; !held {
		return nil, x.absence(ref)
	}
	var entries []*entry
	for len(entries) < maxChainTurns {
		e, held := x.turns[ref]
		if !held {
			break
		}
		entries = append(entries, e)
		if e.parent == "" {
			return entries, nil
		}
		ref = e.parentRef()
	}
	return nil, ErrIncomplete
}

// absence returns what is known of a turn that is not held.
func (x *index) absence(ref hawthornrail.TurnRef) error {
	if _, exists := x.awaited[ref]; exists {
		return ErrIncomplete
	}
	if x.owners[ref.ID()] > 0 {
		return ErrForeign
	}
	return ErrUnknown
}

// damage removes an entry whose content can't be read from the disk.
func (x *index) damage(e *entry) {
	if x.turns[e.ref] == e {
		x.remove(e.ref, e)
		x.awaited[e.ref] = max(x.awaited[e.ref], e.expiryMS)
	}
}

// expire removes the turns that are no longer kept and returns their number.
func (x *index) expire(nowMS int64) int {
	removed := 0
	for ref, e := range x.turns {
		if e.expiryMS+expiryMarginMS >= nowMS {
			continue
		}
		x.remove(ref, e)
		removed++
	}
	for ref, until := range x.awaited {
		if until+expiryMarginMS < nowMS {
			delete(x.awaited, ref)
		}
	}
	if removed > 0 {
		x.rebuildNames()
	}
	return removed
}

func (x *index) remove(ref hawthornrail.TurnRef, e *entry) {
	e.segment.drop(e)
	delete(x.turns, ref)
	if x.owners[ref.ID()]--; x.owners[ref.ID()] == 0 {
		delete(x.owners, ref.ID())
	}
}

// rebuildNames drops the names that no turn has any more.
func (x *index) rebuildNames() {
	names := make(map[string]string, len(x.names))
	for _, e := range x.turns {
		names[e.ref.Team()] = e.ref.Team()
		names[e.placementKey] = e.placementKey
	}
	x.names = names
}
