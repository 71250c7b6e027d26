package ledger

import "time"

// Deadline returns the earliest end of the wall time of a program and its
// ancestors.
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

// Exhausted reports whether the program cannot make a call of the given number
// of tokens, neither now nor after its sub-agents have ended.
func (t *Tree) Exhausted(p *Program, tokens uint64) bool {
	for _, index := range p.children {
		if t.programs[index].ended == "" {
			return false
		}
	}
	remaining := t.remaining(p)
	return remaining.calls == 0 || remaining.tokens < tokens
}

// RemainingChildren returns how many sub-agents may still be created below the
// program.
func (t *Tree) RemainingChildren(p *Program) uint32 { return t.remaining(p).children }
