package ledger

import "time"

// Retention is how long the record of an ended tree is kept, so that a repeat
// of one of its calls is answered from it.
const Retention = 15 * time.Minute

// Finished reports whether no step of the tree can follow: every program has
// ended and no call is pending.
func (t *Tree) Finished() bool {
	for _, p := range t.programs {
		if p.ended == "" || len(p.Pending()) > 0 {
			return false
		}
	}
	return len(t.programs) > 0
}
