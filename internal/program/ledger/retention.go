package ledger

import "time"

// Retention is how long the record of an ended tree is kept to replay the
// outcomes of repeated calls.
const Retention = 15 * time.Minute

// Finished reports whether the tree can have no more steps: every program has
// ended and no call is pending.
func (t *Tree) Finished() bool {
	for _, p := range t.programs {
		if p.ended == "" || len(p.Pending()) > 0 {
			return false
		}
	}
	return len(t.programs) > 0
}
