package ledger

import hawthornrail "hawthornrail.example/hawthornrail"

// Unresolved returns the outcomes that a new home records for the calls that
// were pending at the former home: each of them may have run.
func (t *Tree) Unresolved() []hawthornrail.Outcome {
	var outcomes []hawthornrail.Outcome
	for _, p := range t.programs {
		for _, c := range p.Pending() {
			outcomes = append(outcomes, hawthornrail.NewOutcome(
				p.index, c.Number(), hawthornrail.VerdictMayHaveRun, hawthornrail.CodeResponseTruncated,
			))
		}
	}
	return outcomes
}
