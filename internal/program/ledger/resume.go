package ledger

import hawthornrail "hawthornrail.example/hawthornrail"

// Unresolved returns the outcomes that a new home records for the calls that
// were pending at the former one: each of them may have run.
func (t *Tree) Unresolved() []hawthornrail.Change {
	var changes []hawthornrail.Change
	for _, p := range t.programs {
		for _, c := range p.Pending() {
			changes = append(changes, hawthornrail.NewOutcome(
				p.index, c.Number(), hawthornrail.VerdictMayHaveRun, hawthornrail.CodeHomeUnreachable,
			))
		}
	}
	return changes
}
