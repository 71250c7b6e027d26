package ledger

import "time"

// Deadline returns when the wall time of a program or of one of its
// ancestors is over, whichever comes first.
func (t *Tree) Deadline(p *Program) time.Time {
	deadline := p.Deadline()
	for p.index != p.parent {
		p = t.programs[p.parent]
		if d := p.Deadline(); d.Before(deadline) {
			deadline = d
		}
	}
	return deadline
}

// Exhausted reports whether the program can make no call of the given number
// of tokens, now or after its sub-agents have ended.
func (t *Tree) Exhausted(p *Program, tokens uint64) bool {
	for _, index := range p.children {
		if t.programs[index].ended == "" {
			return false
		}
	}
	left := t.left(p)
	return left.calls == 0 || left.tokens < tokens
}
